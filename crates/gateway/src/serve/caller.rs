//! Connections of callers.
//!
//! A stream to a caller that doesn't know chunks ends with its connection. Until such a stream is complete,
//! its connection is set up to end with a reset, also if this process is killed: after an orderly end, the
//! caller would take what it has received as the whole stream.
//!
//! A connection tells the [`intake`](crate::serve::intake) when a request begins and when an answer is sent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use node::socket;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::serve::intake::Claim;

/// Bytes that a connection receives while they aren't read, such as requests after one that is in progress.
pub const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// The same while a long body is received. A link that loses packets needs many of them on their way.
const LONG_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Whether a stream without chunks is being sent on a connection and isn't complete.
#[derive(Debug, Clone, Default)]
pub struct Incomplete(Arc<AtomicBool>);

impl Incomplete {
    pub fn set(&self, incomplete: bool) {
        self.0.store(incomplete, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Waits until a connection has sent something; returns whether it has. Until then it takes none of the HTTP library's
/// buffers.
pub async fn has_sent(stream: &TcpStream) -> bool {
    let mut first_byte = [0];
    matches!(stream.peek(&mut first_byte).await, Ok(1))
}

/// Connection of a caller. It ends with a reset while `incomplete` is set.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    incomplete: Incomplete,
    claim: Option<Arc<Claim>>,
    /// Whether the socket is set up to receive a long body.
    receives_long: bool,
    /// Whether the socket is set up to end with a reset.
    resets: bool,
}

impl Connection {
    /// A connection that claims no memory.
    pub fn new(stream: TcpStream, incomplete: Incomplete) -> Connection {
        Connection {
            stream,
            incomplete,
            claim: None,
            receives_long: false,
            resets: false,
        }
    }

    /// A connection whose requests occupy memory of this claim.
    pub fn with_claim(self, claim: Arc<Claim>) -> Connection {
        Connection {
            claim: Some(claim),
            ..self
        }
    }

    /// Sets the socket up for the body that it receives now.
    fn set_receive_buffer(&mut self) -> io::Result<()> {
        let claim = self.claim.as_ref();
        let receives_long = claim.is_some_and(|claim| claim.receives_long_body());
        if receives_long != self.receives_long {
            let bytes = match receives_long {
                true => LONG_RECEIVE_BUFFER_BYTES,
                false => RECEIVE_BUFFER_BYTES,
            };
            socket::set_receive_buffer(&self.stream, bytes)?;
            self.receives_long = receives_long;
        }
        Ok(())
    }

    /// Sets the socket up for the end that it must have now.
    fn set_end(&mut self) -> io::Result<()> {
        let resets = self.incomplete.is_set();
        if resets != self.resets {
            socket::set_reset_on_close(&self.stream, resets)?;
            self.resets = resets;
        }
        Ok(())
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        match &self.claim {
            Some(claim) if buffer.filled().len() > before => {
                let claimed = claim.receive(Instant::now());
                claimed.map_err(|_| io::Error::other("no room for the request"))?;
                self.set_receive_buffer()?;
                Poll::Ready(Ok(()))
            }
            Some(_) | None => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.set_end()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes only once it has written all that it holds.
        if let Some(claim) = &self.claim {
            claim.flush(Instant::now());
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_end()?;
        match self.resets {
            // The reset follows when the connection is dropped.
            true => Poll::Ready(Ok(())),
            false => Pin::new(&mut self.stream).poll_shutdown(context),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.set_end()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
