//! Serialises byte strings as one run instead of a sequence of numbers; for `#[serde(with)]`.
//!
//! Postcard encodes both identically, but copies a run at once. Histories are long, so they
//! take most of the time of encoding a shard's state.

use std::fmt;

use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Largest capacity reserved before any byte is read.
const MAX_RESERVED_BYTES: usize = 1 << 16;

/// Writes bytes as one run.
pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Reads bytes from a run or a sequence.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    deserializer.deserialize_byte_buf(BytesVisitor)
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<u8>, A::Error> {
        let capacity = sequence.size_hint().unwrap_or(0).min(MAX_RESERVED_BYTES);
        let mut bytes = Vec::with_capacity(capacity);
        while let Some(byte) = sequence.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes)
    }
}
