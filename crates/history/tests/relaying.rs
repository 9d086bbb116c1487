//! Tests of a client that stores turns at the history hosts through a relay.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use history::client::Client;
use history::error::Error;
use node::link;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::support::CallKind;
use crate::support::Fault;
use crate::support::Host;
use crate::support::Store;
use crate::support::client;
use crate::support::start_hosts;
use crate::support::turn;

const HOSTS: usize = 3;
const LOSSES: usize = 1;

/// Time that a request has left.
const LEFT: Duration = Duration::from_secs(5);

/// Address without a listener.
const CLOSED_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

async fn serve<H: link::Handler>(handler: Arc<H>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(link::serve(listener, handler));
    address
}

/// Hosts, a client that reaches them, and one that doesn't.
async fn start() -> (Vec<Host>, Client, Client) {
    let store = Arc::new(Store::default());
    let hosts = start_hosts(&store, HOSTS, LOSSES).await;
    let connected = client(&store, LOSSES);
    let mut unreachable = store.membership();
    for member in &mut unreachable.members {
        member.address = CLOSED_ADDRESS.into();
    }
    let cut_off = Client::new(LOSSES);
    cut_off.update_membership(unreachable);
    (hosts, connected, cut_off)
}

/// Keeps a turn; returns after what time, or the error.
async fn keep(client: &Client) -> Result<Duration, Error> {
    let started = Instant::now();
    let id = "turn-1";
    let kept = client.keep(turn(id), Vec::new(), Vec::new(), id, started + LEFT);
    kept.await.map(|_| started.elapsed())
}

/// Guards against streams that are cut although all history hosts store their turns: the relay gave up before
/// a slow sync had ended, and each repeated call waited for another sync.
#[rstest]
#[case::longer_than_the_first_attempt(Duration::from_millis(650))]
#[case::longer_than_the_second_attempt(Duration::from_millis(1300))]
#[tokio::test]
async fn a_turn_is_kept_through_a_relay_by_hosts_whose_every_sync_takes_long(
    #[case] sync: Duration,
) {
    let (hosts, connected, cut_off) = start().await;
    for host in &hosts {
        let slow = Some(Fault::Delay(sync));
        host.gate.set_fault(CallKind::Append, slow);
    }
    cut_off.set_relay(Some(serve(Arc::new(connected.relay())).await));
    let kept = keep(&cut_off).await;
    assert!(kept.is_ok(), "{kept:?}");
}
