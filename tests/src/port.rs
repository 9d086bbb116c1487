//! Free loopback ports below the range that the kernel hands out for connections.
//!
//! A process takes a block of ports for itself and holds it by listening on the block's first one,
//! so that test programs that run side by side don't take each other's.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

const FIRST: u16 = 12_000;
const BLOCK: u16 = 800;
const BLOCKS: u16 = 25;

static NEXT: AtomicU16 = AtomicU16::new(0);
static HELD: OnceLock<(u16, TcpListener)> = OnceLock::new();

/// An address that was free a moment ago and that this process won't give out again soon.
///
/// # Panics
/// When no block or no port of it is free.
pub fn free() -> SocketAddr {
    let (first, _) = HELD.get_or_init(hold_block);
    (1..BLOCK)
        .map(|_| first + 1 + NEXT.fetch_add(1, Ordering::Relaxed) % (BLOCK - 1))
        .map(address)
        .find(|address| TcpListener::bind(address).is_ok())
        .expect("a port is free")
}

fn hold_block() -> (u16, TcpListener) {
    (0..BLOCKS)
        .map(|block| FIRST + block * BLOCK)
        .find_map(|first| Some((first, TcpListener::bind(address(first)).ok()?)))
        .expect("a block of ports is free")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
