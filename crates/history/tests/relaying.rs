//! Tests of a client that stores turns while the way to the history hosts changes: directly, or through a relay.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use history::client::Client;
use history::error::Error;
use node::link;
use node::link::Responder;
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

/// Time within which a turn is kept once its hosts can be reached.
const LIMIT: Duration = Duration::from_millis(1500);

/// Time after which the way to the hosts changes.
const CHANGE: Duration = Duration::from_millis(700);

/// Address without a listener.
const CLOSED_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

/// Entry that receives calls and answers none, as one that is suspended.
#[derive(Debug)]
struct SuspendedRelay;

impl link::Handler for SuspendedRelay {
    fn handle(self: &Arc<Self>, _payload: Bytes, _responder: Responder) {}
}

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

/// Guards against streams that are cut although the history hosts answer directly: their turns were sent
/// through a relay that has gone silent until their requests' deadlines.
#[rstest]
#[tokio::test]
async fn a_turn_is_kept_directly_once_the_silent_relay_is_not_used_any_more() {
    let (_hosts, connected, _) = start().await;
    connected.set_relay(Some(serve(Arc::new(SuspendedRelay)).await));
    let (kept, ()) = tokio::join!(keep(&connected), async {
        tokio::time::sleep(CHANGE).await;
        connected.set_relay(None);
    });
    assert!(kept.as_ref().is_ok_and(|took| *took < LIMIT), "{kept:?}");
}

/// Guards against streams that are cut although a relay reaches the history hosts: their turns were sent
/// directly until their requests' deadlines, as no relay was in use when they ended.
#[rstest]
#[tokio::test]
async fn a_turn_is_kept_through_a_relay_that_is_found_after_direct_calls_have_failed() {
    let (_hosts, connected, cut_off) = start().await;
    let relay = serve(Arc::new(connected.relay())).await;
    let (kept, ()) = tokio::join!(keep(&cut_off), async {
        tokio::time::sleep(CHANGE).await;
        cut_off.set_relay(Some(relay));
    });
    assert!(kept.as_ref().is_ok_and(|took| *took < LIMIT), "{kept:?}");
}

/// Guards against streams that are cut while an entry is tried as a relay that has gone silent after its last
/// report: calls were sent through it before it had answered.
#[rstest]
#[tokio::test]
async fn a_relay_is_used_only_once_the_hosts_have_answered_through_it() {
    const TIMEOUT: Duration = Duration::from_millis(300);
    let (_hosts, connected, cut_off) = start().await;
    let silent = serve(Arc::new(SuspendedRelay)).await;
    let working = serve(Arc::new(connected.relay())).await;
    let (answers, kept) = tokio::join!(connected.try_relay(silent, TIMEOUT), keep(&connected));
    assert!(!answers && kept.is_ok_and(|took| took < TIMEOUT));
    assert_eq!(connected.relay_address(), None);
    assert!(cut_off.try_relay(working, LIMIT).await);
    assert_eq!(cut_off.relay_address(), Some(working));
}
