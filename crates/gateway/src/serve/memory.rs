//! Memory that long answers or long bodies may occupy together.
//!
//! Each has a limit of its own; without a common one, many at once would take the memory of all requests.
//! One source of them, such as a target whose answers don't end, may occupy twice as much as it leaves to
//! others, so that it can't take the whole.

use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;

use crate::Map;
use crate::target::hash;

/// Size of the portions in which memory is taken, in bytes.
const PORTION_BYTES: usize = 16 * 1024;

/// Largest ratio of what one source occupies to what is left.
const SOURCE_RATIO: usize = 2;

/// Whose answers or bodies occupy memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Source(u64);

impl Source {
    /// A target, by its id.
    pub fn target(id: &str) -> Source {
        Source(hash::hash_parts(&["target", id]))
    }

    /// Callers that aren't authenticated yet.
    pub fn unauthenticated() -> Source {
        Source(hash::hash_parts(&["unauthenticated"]))
    }

    /// A service, by its name.
    pub fn service(name: &str) -> Source {
        Source(hash::hash_parts(&["service", name]))
    }

    /// A customer, by its name.
    pub fn customer(name: &str) -> Source {
        Source(hash::hash_parts(&["customer", name]))
    }
}

/// Memory shared by many requests.
#[derive(Debug)]
pub struct Memory {
    portions: Arc<Mutex<Portions>>,
    bytes: usize,
    short: usize,
}

/// Error: others occupy the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted;

/// Portions that are free, and those that each source occupies.
#[derive(Debug)]
struct Portions {
    free: usize,
    taken: Map<Source, usize>,
}

impl Portions {
    /// Replaces `held` portions of a source by `needed` ones.
    ///
    /// Errors: too few are left for more; the source keeps what it holds.
    fn replace(&mut self, source: Source, held: usize, needed: usize) -> Result<(), Exhausted> {
        let taken = self.taken.get(&source).copied().unwrap_or(0) - held + needed;
        let free = (self.free + held).checked_sub(needed);
        let free = match free {
            Some(free) if needed <= held || taken <= SOURCE_RATIO * free => free,
            Some(_) | None => return Err(Exhausted),
        };
        self.free = free;
        match taken {
            0 => self.taken.remove(&source),
            taken => self.taken.insert(source, taken),
        };
        Ok(())
    }
}

/// What one request occupies of a [`Memory`], until it is dropped.
#[derive(Debug)]
pub struct Share {
    portions: Arc<Mutex<Portions>>,
    source: Source,
    held: usize,
    short: usize,
}

impl Drop for Share {
    fn drop(&mut self) {
        if self.held > 0 {
            // Returning portions never fails.
            let _ = self.portions.lock().replace(self.source, self.held, 0);
        }
    }
}

/// Bytes that occupy memory until the last reference to them is dropped.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Memory {
    /// Memory of a number of bytes, for all requests together. Up to `short` bytes of each aren't counted,
    /// so that short ones never fail.
    pub fn new(bytes: usize, short: usize) -> Memory {
        Memory {
            portions: Arc::new(Mutex::new(Portions {
                free: bytes / PORTION_BYTES,
                taken: Map::default(),
            })),
            bytes,
            short,
        }
    }

    /// What one source may occupy while others occupy nothing, in bytes.
    pub fn source_bytes(&self) -> usize {
        self.bytes / (SOURCE_RATIO + 1) * SOURCE_RATIO
    }

    /// A share that occupies nothing yet.
    pub fn share(&self, source: Source) -> Share {
        Share {
            portions: Arc::clone(&self.portions),
            source,
            held: 0,
            short: self.short,
        }
    }

    /// Takes the memory of these bytes until they are dropped.
    ///
    /// Errors: too little is left.
    pub fn hold(&self, source: Source, bytes: Bytes) -> Result<Bytes, Exhausted> {
        let mut share = self.share(source);
        share.resize(bytes.len())?;
        Ok(share.attach(bytes))
    }
}

impl Share {
    /// Takes or returns memory, so that the share is enough for a number of bytes.
    ///
    /// Errors: too little is left.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let needed = match bytes > self.short {
            true => bytes.div_ceil(PORTION_BYTES),
            false => 0,
        };
        if needed != self.held {
            let mut portions = self.portions.lock();
            portions.replace(self.source, self.held, needed)?;
            self.held = needed;
        }
        Ok(())
    }

    /// Occupies the memory until these bytes are dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        match self.held {
            0 => bytes,
            _ => Bytes::from_owner(Held {
                bytes,
                _share: self,
            }),
        }
    }
}
