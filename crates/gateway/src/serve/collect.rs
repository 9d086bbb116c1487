//! Collects the bodies of answers that are relayed only once they are complete.
//!
//! A faulty target may send bytes without end. An answer has a limit of its own, and what long answers
//! occupy together has another, so that many faulty targets can't take the memory of all requests.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::error::Error;

/// Maximum size of an answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Size up to which an answer is collected whatever others occupy, in bytes; above it, memory is taken
/// in portions of this size.
const PORTION_BYTES: usize = 64 * 1024;

/// Memory for long answers.
#[derive(Debug)]
pub struct Memory {
    portions: Semaphore,
}

impl Memory {
    /// Memory of a number of bytes, for all answers together.
    pub fn new(bytes: usize) -> Memory {
        Memory {
            portions: Semaphore::new(bytes / PORTION_BYTES),
        }
    }

    /// Reads a whole body.
    ///
    /// Errors: the body ends early, or is longer than the limits allow.
    pub async fn collect(&self, mut body: Incoming) -> Result<Bytes, Error> {
        let mut bytes = BytesMut::new();
        let mut taken: Option<SemaphorePermit<'_>> = None;
        while let Some(frame) = body.frame().await {
            let frame =
                frame.map_err(|error| Error::MaybeRun(format!("body is cut short: {error}")))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let size = bytes.len() + data.len();
            if size > MAX_ANSWER_BYTES {
                return Err(Error::MaybeRun("answer is too long".to_owned()));
            }
            self.take(&mut taken, size / PORTION_BYTES)?;
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }

    /// Takes memory until `taken` holds a number of portions.
    fn take<'a>(
        &'a self,
        taken: &mut Option<SemaphorePermit<'a>>,
        portions: usize,
    ) -> Result<(), Error> {
        let held = taken.as_ref().map_or(0, SemaphorePermit::num_permits);
        let missing = portions.saturating_sub(held) as u32;
        if missing == 0 {
            return Ok(());
        }
        let permit = self.portions.try_acquire_many(missing);
        let permit =
            permit.map_err(|_| Error::MaybeRun("no memory for a long answer".to_owned()))?;
        match taken {
            Some(taken) => taken.merge(permit),
            None => *taken = Some(permit),
        }
        Ok(())
    }
}
