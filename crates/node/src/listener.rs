//! TCP listeners.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Opens a listener.
///
/// Errors: the address can't be bound.
pub async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.wrap_err_with(|| format!("binding {address}"))
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
