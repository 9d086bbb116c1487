//! The platform's object API; not written yet.

use std::io;
use std::net::SocketAddr;

/// Serves the object API until the process ends.
pub async fn serve(_listen: SocketAddr) -> io::Result<()> {
    Err(io::Error::from(io::ErrorKind::Unsupported))
}
