//! Options of TCP sockets.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time before the first probe, and pause between probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection is broken.
const PROBES: u32 = 2;

/// Time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);

/// Sends at once, and notices a peer that is cut off.
///
/// Errors: the socket is closed.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
