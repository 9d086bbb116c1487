//! Listening for connections.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Pause after a connection couldn't be accepted, as when files run out.
const PAUSE: Duration = Duration::from_millis(50);

/// Opens a listener.
///
/// Errors: the address can't be bound.
pub async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.wrap_err_with(|| format!("binding {address}"))
}

/// Hands over connections until the future is dropped; `peers` says in the log who connects.
pub async fn accept(
    listener: &TcpListener,
    peers: &str,
    mut connect: impl FnMut(TcpStream, SocketAddr),
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => connect(stream, peer),
            Err(error) => {
                log::warn!(step = "accept", peer = peers; "{error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
