//! Free loopback ports below the range that the kernel hands out for connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

const FIRST: u16 = 12_000;
const COUNT: u16 = 20_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// An address that was free a moment ago and that this process won't give out again soon.
///
/// # Panics
/// When no port of the range is free.
pub fn free() -> SocketAddr {
    let offset = (std::process::id() % 200) as u16 * 100;
    (0..COUNT)
        .map(|_| FIRST + (offset.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed))) % COUNT)
        .map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
        .find(|address| TcpListener::bind(address).is_ok())
        .expect("a port is free")
}
