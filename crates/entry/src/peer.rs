//! Channels to other processes of the system, opened once for each address.

use std::net::SocketAddr;
use std::time::Duration;

use coord::Map;
use parking_lot::Mutex;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use wire::owner_client::OwnerClient;
use wire::target_client::TargetClient;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence on a connection with calls in progress after which it is probed.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// Time for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Flow-control window of a connection, in bytes.
const WINDOW: u32 = 4 * 1024 * 1024;

/// Cached channels by address.
#[derive(Debug, Default)]
pub struct Peers {
    channels: Mutex<Map<SocketAddr, Channel>>,
}

impl Peers {
    /// Client of the entry at this address.
    pub fn owner(&self, address: SocketAddr) -> OwnerClient<Channel> {
        OwnerClient::new(self.channel(address))
            .max_decoding_message_size(wire::MESSAGE_LIMIT)
            .max_encoding_message_size(wire::MESSAGE_LIMIT)
    }

    /// Client of the sidecar at this address.
    pub fn target(&self, address: SocketAddr) -> TargetClient<Channel> {
        TargetClient::new(self.channel(address))
            .max_decoding_message_size(wire::MESSAGE_LIMIT)
            .max_encoding_message_size(wire::MESSAGE_LIMIT)
    }

    /// The channel to this address, connected at first use.
    pub fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.lock();
        channels
            .entry(address)
            .or_insert_with(|| connect(address))
            .clone()
    }

    /// Forgets the channels to addresses that are out of use.
    pub fn retain(&self, used: impl Fn(&SocketAddr) -> bool) {
        self.channels.lock().retain(|address, _| used(address));
    }
}

fn connect(address: SocketAddr) -> Channel {
    let uri = format!("http://{address}");
    let endpoint = Endpoint::from_shared(uri).unwrap_or_else(|_| Endpoint::from_static("http://0"));
    endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PROBE_AFTER)
        .keep_alive_timeout(PROBE_TIMEOUT)
        .initial_stream_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .connect_lazy()
}
