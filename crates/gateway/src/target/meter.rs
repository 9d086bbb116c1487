//! Limits the bytes that are read from a connection before the head of an answer is complete.
//!
//! The HTTP library bounds one head, but not the number of interim answers before it.

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

/// Bytes that may be read until the head of an answer is complete.
const HEAD_BYTES: usize = 256 * 1024;

/// Number of bytes that may still be read from a connection.
#[derive(Debug, Clone)]
pub struct Allowance(Arc<AtomicUsize>);

impl Default for Allowance {
    /// Allows a head.
    fn default() -> Allowance {
        Allowance(Arc::new(AtomicUsize::new(HEAD_BYTES)))
    }
}

impl Allowance {
    /// Begins to wait for a head.
    pub fn expect_head(&self) {
        self.0.store(HEAD_BYTES, Ordering::Relaxed);
    }

    /// Allows any number of bytes, as the reader of a body counts them.
    pub fn expect_body(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
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
        let allowed = self.allowance.0.load(Ordering::Relaxed);
        match allowed {
            usize::MAX => {}
            allowed if read > allowed => {
                return Poll::Ready(Err(io::Error::other("bytes without the end of a head")));
            }
            allowed => {
                // Lost if the allowance has just been changed, which only makes it larger.
                let rest = allowed - read;
                let _ = self.allowance.0.compare_exchange(
                    allowed,
                    rest,
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                );
            }
        }
        Poll::Ready(Ok(()))
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
