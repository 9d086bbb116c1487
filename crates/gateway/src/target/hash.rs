//! Hashes of names, alike on all entries of a build.

use std::hash::Hasher;

/// Hash of a target's id, used in reports between entries and in the history; never 0.
pub fn target_hash(id: &str) -> u32 {
    (hash_parts(&[id]) as u32).max(1)
}

/// Hash of a list of strings, each terminated by a zero byte.
pub fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish()
}
