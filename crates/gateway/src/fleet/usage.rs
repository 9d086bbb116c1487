//! Exchange of customers' usage by datagrams; see [`coord::usage`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::quota::Entry;
use coord::usage;
use coord::usage::Message;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::fleet::peers;
use crate::state::State;
use crate::target::hash;

/// Maximum size of a received datagram, in bytes.
const DATAGRAM_LIMIT: usize = 32 * 1024;

/// Exchanges usage until the task is dropped.
///
/// Errors: the port can't be bound.
pub async fn run(state: Arc<State>) -> std::io::Result<()> {
    let socket = UdpSocket::bind(state.settings.usage_address()).await?;
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    let mut rounds = tokio::time::interval(Duration::from_millis(usage::INTERVAL.0));
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((size, from)) => handle_datagram(&state, &buffer[..size], from),
                Err(error) => log::debug!(step = "receive usage", peer = "entries"; "{error}"),
            },
            _ = rounds.tick() => send_round(&state, &socket).await,
        }
    }
}

fn handle_datagram(state: &State, datagram: &[u8], from: SocketAddr) {
    match postcard::from_bytes::<Message>(datagram) {
        Ok(message) => state.merge_usage(SocketAddr::new(from.ip(), state.peer_port()), &message),
        Err(error) => log::debug!(step = "read usage", peer:% = from; "{error}"),
    }
}

async fn send_round(state: &State, socket: &UdpSocket) {
    for (address, message) in state.usage_round() {
        let destination = SocketAddr::new(address.ip(), state.settings.usage_address().port());
        match postcard::to_stdvec(&message) {
            Ok(datagram) => {
                if let Err(error) = socket.send_to(&datagram, destination).await {
                    log::debug!(step = "send usage", peer:% = destination; "{error}");
                }
            }
            Err(error) => log::error!(step = "encode usage", peer:% = destination; "{error}"),
        }
    }
}

impl State {
    fn peer_port(&self) -> u16 {
        self.settings.peer_ports.0
    }

    /// This entry, as other entries name it in their buckets.
    pub(crate) fn entry(&self) -> Entry {
        Entry {
            id: hash::hash_parts(&[&self.settings.host]),
            incarnation: self.incarnation,
        }
    }

    /// Merges a message of the entry at an address.
    pub fn merge_usage(&self, from: SocketAddr, message: &Message) {
        self.peers.lock().record_message(self.time());
        let (fleet, now, me) = (self.fleet(), self.time(), self.entry());
        let mut quotas = self.quotas.lock();
        self.usage.lock().receive(from, message, now);
        quotas.merge_message(message, me.id, fleet, now);
    }

    /// Returns the messages of one round and the entries that they are sent to. A small fleet's
    /// reports come often enough without them.
    pub fn usage_round(&self) -> Vec<(SocketAddr, Message)> {
        let (fleet, now, me) = (self.fleet(), self.time(), self.entry());
        if peers::is_small(fleet.entries) {
            return Vec::new();
        }
        let own = self.settings.peer_address();
        let mut entries = self.peers.lock().fresh_addresses(now);
        entries.push(own);
        let mut quotas = self.quotas.lock();
        let mut usage = self.usage.lock();
        let local = |customer: &_| quotas.usage(customer, me, fleet, now);
        usage.round(me, own, &entries, local, now)
    }
}
