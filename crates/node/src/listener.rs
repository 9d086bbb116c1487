//! TCP listeners.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Length of the queue of connections that wait to be accepted. When it is full, the opening packet is
/// dropped and sent again after a second, so that it must hold all callers that come back at once.
const QUEUE: u32 = 1024;

/// Opens a listener.
///
/// Errors: the address can't be bound.
pub async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    listen(address, None).wrap_err_with(|| format!("binding {address}"))
}

/// Opens a listener whose connections receive up to `buffer` bytes that aren't read, or up to twice as many by the
/// system's own rules.
///
/// Errors: the address can't be bound.
pub async fn bind_with_buffer(address: SocketAddr, buffer: u32) -> eyre::Result<TcpListener> {
    listen(address, Some(buffer)).wrap_err_with(|| format!("binding {address}"))
}

fn listen(address: SocketAddr, buffer: Option<u32>) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // The former process's connections may still be closing.
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    if let Some(buffer) = buffer {
        socket.set_recv_buffer_size(buffer)?;
    }
    socket.bind(address)?;
    socket.listen(QUEUE)
}

/// Passes each accepted connection to `on_connection` until the future is dropped; `peers` names the
/// connecting side in the log.
pub async fn accept(
    listener: &TcpListener,
    peers: &str,
    mut on_connection: impl FnMut(TcpStream, SocketAddr),
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => on_connection(stream, peer),
            Err(error) => {
                log::warn!(step = "accept", peer = peers; "{error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
