//! Gossip between entries: each sends a report to all others a few times a second by UDP.
//!
//! A report holds the requests that its sender has admitted for each customer and runs on each
//! target, as totals and current values, so that a lost datagram does no harm. Entries discover each
//! other by the objects that they register, the seeds in their settings, and the entries listed in
//! reports.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::time::Time;
use node::object::Error;
use node::object::Kind;
use node::object::ObjectStore;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::fleet::peers;
use crate::fleet::peers::Report;
use crate::state::State;

/// Shortest time for which a change is reported, and number of intervals for which it is among many
/// entries, so that a lost datagram delays it only.
const REPEAT_WINDOW: Duration = Duration::from_millis(1500);
const REPEATS: u32 = 2;

/// Maximum size of a datagram, in bytes.
const DATAGRAM_LIMIT: usize = 60 * 1024;

/// Range by which the time between reports varies.
const INTERVAL_JITTER: std::ops::Range<f64> = 0.5..1.5;

/// Shortest time between two reports, if something must be known soon.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Lateness of a report by which this process was paused. The reports that it received meanwhile don't show
/// that their senders are there, nor what these know now.
const PAUSE: Duration = Duration::from_millis(2000);

/// Time before a failed registration is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Exchanges reports until the task is dropped.
///
/// Errors: the port can't be bound.
pub async fn run(state: Arc<State>) -> std::io::Result<()> {
    let socket = UdpSocket::bind(state.settings.peer_address()).await?;
    // All entries receive reports on the same port, so the ports of seeds are ignored.
    let port = state.settings.peer_ports.0;
    for seed in &state.settings.seeds {
        state.add_peer(SocketAddr::new(seed.ip(), port));
    }
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    let mut next_report = Instant::now();
    let mut last_report = next_report;
    loop {
        let due = next_report;
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((size, _)) if due.elapsed() > PAUSE => {
                    handle_old_datagram(&state, &buffer[..size]);
                }
                Ok((size, from)) => handle_datagram(&state, &buffer[..size], from.ip(), port),
                Err(error) => log::debug!(step = "receive report", peer = "entries"; "{error}"),
            },
            () = state.report_soon.notified() => {
                let earliest = (last_report + MIN_INTERVAL).max(Instant::now());
                next_report = next_report.min(earliest);
            }
            () = tokio::time::sleep_until(next_report) => {
                if due.elapsed() > PAUSE {
                    read_old_reports(&state, &socket, &mut buffer, due).await;
                }
                last_report = Instant::now();
                next_report = last_report + send_reports(&state, &socket).await;
            }
        }
    }
}

/// Reads the reports that arrived while this process was paused; `due` is when it should have sent one.
async fn read_old_reports(state: &State, socket: &UdpSocket, buffer: &mut [u8], due: Instant) {
    // The runtime may not have noticed yet that the socket has datagrams.
    tokio::task::yield_now().await;
    let mut reports = 0;
    while let Ok((size, _)) = socket.try_recv_from(buffer) {
        handle_old_datagram(state, &buffer[..size]);
        reports += 1;
    }
    log::warn!(
        step = "receive report", peer = "entries", reports = reports,
        late_ms = due.elapsed().as_millis() as u64;
        "process was paused"
    );
}

fn handle_old_datagram(state: &State, datagram: &[u8]) {
    if let Ok(report) = Report::decode(datagram) {
        state.merge_old_report(&report);
    }
}

fn handle_datagram(state: &State, datagram: &[u8], from: IpAddr, port: u16) {
    match Report::decode(datagram) {
        Ok(report) if report.host == state.settings.host => {}
        Ok(report) => state.merge_report(SocketAddr::new(from, port), &report),
        Err(error) => log::debug!(step = "read report", peer:% = from; "{error}"),
    }
}

/// Sends this entry's report to all others; returns the time until the next one.
async fn send_reports(state: &State, socket: &UdpSocket) -> Duration {
    let (report, addresses) = state.report();
    let entries = addresses.len() + 1;
    match report.encode() {
        Ok(datagram) if datagram.len() > DATAGRAM_LIMIT => {
            log::error!(
                step = "send report", peer = "entries", bytes = datagram.len(), limit = DATAGRAM_LIMIT;
                "report is too long to be sent"
            );
        }
        Ok(datagram) => {
            for address in addresses {
                if let Err(error) = socket.send_to(&datagram, address).await {
                    log::debug!(step = "send report", peer:% = address; "{error}");
                }
            }
        }
        Err(error) => log::error!(step = "encode report", peer = "entries"; "{error}"),
    }
    // Jitter spreads the reports of entries that started together.
    peers::interval(entries).mul_f64(rand::random_range(INTERVAL_JITTER))
}

/// Time since which changes are included in a report sent at `now` among this many entries.
pub fn repeat_since(now: Time, entries: usize) -> Time {
    let window = REPEAT_WINDOW.max(peers::interval(entries) * REPEATS);
    Time(now.0.saturating_sub(window.as_millis() as u64))
}

/// Registers this entry and adds the registered ones as peers; retries until both succeed.
pub async fn register<S: ObjectStore>(objects: &S, state: &State) {
    loop {
        match try_register(objects, state).await {
            Ok(()) => {
                state.record_entries_listed();
                return;
            }
            Err(error) => log::debug!(step = "register", peer = "platform"; "{error}"),
        }
        tokio::time::sleep(history::join::jittered(REGISTER_RETRY_DELAY)).await;
    }
}

async fn try_register<S: ObjectStore>(objects: &S, state: &State) -> Result<(), Error> {
    let host = &state.settings.host;
    let address = state.settings.peer_address();
    let spec = json!({ "address": address });
    match objects.create(Kind::Entries, host, spec.clone()).await {
        Ok(()) => {}
        Err(Error::Conflict) => {
            if let Some(object) = objects.get(Kind::Entries, host).await?
                && object.spec != spec
            {
                let revision = object.revision;
                objects.update(Kind::Entries, host, revision, spec).await?;
            }
        }
        Err(error) => return Err(error),
    }
    let listing = objects.list(Kind::Entries).await?;
    for object in listing
        .objects
        .iter()
        .filter(|object| object.name != **host)
    {
        let address = object.spec.get("address").and_then(|value| value.as_str());
        match address.map(str::parse) {
            Some(Ok(address)) => state.add_peer(address),
            _ => {
                log::warn!(step = "read entry", peer = object.name.as_str(); "registration has no valid address")
            }
        }
    }
    Ok(())
}
