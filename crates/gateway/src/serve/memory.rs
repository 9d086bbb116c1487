//! Memory that long answers or long bodies may occupy together.
//!
//! Each has a limit of its own; without a common one, many at once would take the memory of all requests.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Size of the portions in which memory is taken, in bytes.
const PORTION_BYTES: usize = 16 * 1024;

/// Memory shared by many requests.
#[derive(Debug)]
pub struct Memory {
    portions: Arc<Semaphore>,
    bytes: usize,
    short: usize,
}

/// Error: others occupy the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted;

/// What one request occupies of a [`Memory`], until it is dropped.
#[derive(Debug)]
pub struct Share {
    portions: Arc<Semaphore>,
    short: usize,
    taken: Option<OwnedSemaphorePermit>,
}

/// Bytes that occupy memory until the last reference to them is dropped.
struct Held {
    bytes: Bytes,
    _taken: OwnedSemaphorePermit,
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
            portions: Arc::new(Semaphore::new(bytes / PORTION_BYTES)),
            bytes,
            short,
        }
    }

    /// Size of the whole, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// A share that occupies nothing yet.
    pub fn share(&self) -> Share {
        Share {
            portions: Arc::clone(&self.portions),
            short: self.short,
            taken: None,
        }
    }

    /// Takes the memory of these bytes until they are dropped.
    ///
    /// Errors: too little is left.
    pub fn hold(&self, bytes: Bytes) -> Result<Bytes, Exhausted> {
        let mut share = self.share();
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
        let held = self.taken.as_ref().map_or(0, |taken| taken.num_permits());
        if needed > held {
            let missing = (needed - held) as u32;
            let permit = Arc::clone(&self.portions).try_acquire_many_owned(missing);
            let permit = permit.map_err(|_| Exhausted)?;
            match &mut self.taken {
                Some(taken) => taken.merge(permit),
                None => self.taken = Some(permit),
            }
        }
        if needed < held {
            drop(
                self.taken
                    .as_mut()
                    .and_then(|taken| taken.split(held - needed)),
            );
        }
        Ok(())
    }

    /// Occupies the memory until these bytes are dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        match self.taken {
            Some(taken) => Bytes::from_owner(Held {
                bytes,
                _taken: taken,
            }),
            None => bytes,
        }
    }
}
