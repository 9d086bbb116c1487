//! Limits of what all callers occupy together.

/// Memory that a process occupies without any caller, in bytes: the program and its cache of turns.
const FIXED_BYTES: u64 = 24 * 1024 * 1024;

/// Parts of the other memory that callers may occupy together; the rest is for answers and chains of turns.
const CALLERS_MEMORY: (u64, u64) = (3, 8);

/// Smallest memory for callers, in bytes.
const MIN_BYTES: u64 = 4 * 1024 * 1024;

/// Descriptors of a process that its connections can't use.
const UNUSABLE_DESCRIPTORS: u64 = 200;

/// Parts of the other descriptors that callers may use; the rest is for targets, history hosts, other entries and
/// the object store.
const CALLERS_DESCRIPTORS: (u64, u64) = (5, 8);

/// Smallest number of connections of callers.
const MIN_CONNECTIONS: u64 = 16;

/// Limits of what all callers occupy together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    pub bytes: usize,
    pub connections: usize,
}

impl Limits {
    /// Limits of a process with this memory, in bytes, and number of descriptors.
    pub fn of_process(memory_bytes: u64, descriptors: u64) -> Limits {
        let (part, parts) = CALLERS_MEMORY;
        let bytes = memory_bytes.saturating_sub(FIXED_BYTES) / parts * part;
        Limits {
            bytes: bytes.max(MIN_BYTES) as usize,
            connections: max_connections(descriptors),
        }
    }
}

/// Number of connections that callers may have to a process with this number of descriptors.
pub fn max_connections(descriptors: u64) -> usize {
    let (part, parts) = CALLERS_DESCRIPTORS;
    let usable = descriptors.saturating_sub(UNUSABLE_DESCRIPTORS);
    (usable / parts * part).max(MIN_CONNECTIONS) as usize
}
