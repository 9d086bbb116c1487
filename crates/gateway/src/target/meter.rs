//! Limits the bytes that are read from a connection without anything that a reader counts.
//!
//! The HTTP library bounds one head, but neither the number of interim answers before it nor the digits and
//! spaces of a chunk's size.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Bytes that may be read until the head of an answer is complete, or besides the data of a body.
const OVERHEAD_BYTES: usize = 256 * 1024;

/// Bytes that may be read for each byte of a body's data: chunks of one byte take six, or more if their sizes
/// have leading zeros.
const BYTES_PER_DATA: usize = 32;

/// Number of bytes that may still be read from a connection.
#[derive(Debug, Clone)]
pub struct Allowance(Arc<AtomicUsize>);

impl Default for Allowance {
    /// Allows a head.
    fn default() -> Allowance {
        Allowance(Arc::new(AtomicUsize::new(OVERHEAD_BYTES)))
    }
}

impl Allowance {
    /// Begins to wait for a head, or for a body after it.
    pub fn renew(&self) {
        self.0.store(OVERHEAD_BYTES, Ordering::Relaxed);
    }

    /// Allows more after some data of a body, which its reader counts.
    pub fn record_data(&self, bytes: usize) {
        let more = bytes.saturating_mul(BYTES_PER_DATA);
        let add = |allowed: usize| Some(allowed.saturating_add(more).min(OVERHEAD_BYTES));
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes bytes that were read; returns whether they were allowed.
    fn take(&self, bytes: usize) -> bool {
        let take = |allowed: usize| allowed.checked_sub(bytes);
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.is_ok()
    }
}

/// Connection that fails once its allowance is used up.
#[derive(Debug)]
pub struct Metered {
    pub stream: TcpStream,
    pub allowance: Allowance,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        Poll::Ready(match self.allowance.take(read) {
            true => Ok(()),
            false => Err(io::Error::other("bytes without the end of a head or data")),
        })
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
