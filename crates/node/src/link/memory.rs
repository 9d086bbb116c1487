//! Memory that large calls to a process occupy together.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Limit of what large calls occupy from the moment at which their size is known until they are answered.
#[derive(Debug, Clone)]
pub struct Memory {
    bytes: usize,
    free: Arc<Semaphore>,
}

/// What one call occupies of a [`Memory`], until it is dropped.
#[derive(Debug)]
pub struct Share {
    _permits: Option<OwnedSemaphorePermit>,
}

impl Memory {
    /// Memory of a number of bytes.
    pub fn new(bytes: usize) -> Memory {
        let bytes = bytes.min(Semaphore::MAX_PERMITS);
        Memory {
            bytes,
            free: Arc::new(Semaphore::new(bytes)),
        }
    }

    /// Memory without a limit.
    pub fn unlimited() -> Memory {
        Memory::new(Semaphore::MAX_PERMITS)
    }

    /// Waits until a call of this size has room. One that is larger than the whole waits until nothing is occupied.
    pub(super) async fn share(&self, bytes: usize) -> Share {
        let permits = u32::try_from(bytes.min(self.bytes)).unwrap_or(u32::MAX);
        // An error would mean that the semaphore is closed, which it never is.
        let permits = Arc::clone(&self.free).acquire_many_owned(permits).await;
        Share {
            _permits: permits.ok(),
        }
    }
}
