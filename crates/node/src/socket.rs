//! TCP socket options.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Time after which the connection is closed if sent bytes stay unacknowledged.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Disables Nagle's algorithm and enables detection of unreachable peers.
///
/// Errors: the socket is closed.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Sets how many bytes the connection receives that aren't read.
///
/// Errors: the socket is closed.
pub fn set_receive_buffer(stream: &TcpStream, bytes: usize) -> io::Result<()> {
    SockRef::from(stream).set_recv_buffer_size(bytes)
}

/// Sets whether the connection ends with a reset when the socket is closed, whoever closes it.
///
/// Errors: the socket is closed.
pub fn set_reset_on_close(stream: &TcpStream, resets: bool) -> io::Result<()> {
    SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO))
}
