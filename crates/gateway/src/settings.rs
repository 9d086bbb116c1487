//! Settings of an entry and of a history host.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;

use compact_str::CompactString;
use coord::id::DataCentre;
use node::log::Level;
use node::operator::Operator;
use node::settings::Check;
use node::settings::Invalid;
use serde::Deserialize;
use serde::Deserializer;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: CompactString,
    pub address: IpAddr,
    pub data_centre: DataCentre,
    pub listen: Listen,
    /// First and last port for calls between the system's processes.
    pub peer_ports: (u16, u16),
    /// Addresses of some entries; their ports don't matter.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    pub first_start: bool,
    /// Disks that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Where the object store listens.
    pub object_store: SocketAddr,
    pub resources: Resources,
    /// Folder on the disk; none without a disk.
    #[serde(default, deserialize_with = "optional")]
    pub data_folder: Option<PathBuf>,
    /// Time that a planned stop may take, in seconds.
    pub stop_s: f64,
    #[serde(default)]
    pub log_level: Level,
    /// Who may see a dump of the state.
    #[serde(default)]
    pub operators: Vec<Operator>,
}

/// Where an entry listens.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    #[serde(default, deserialize_with = "optional")]
    pub callers: Option<SocketAddr>,
    /// For the question whether callers should come.
    #[serde(default, deserialize_with = "optional")]
    pub ready: Option<SocketAddr>,
    /// For operators.
    #[serde(default, deserialize_with = "optional")]
    pub admin: Option<SocketAddr>,
}

/// What the process may use.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Share of a processor's core.
    pub processor: f64,
    pub cores: usize,
    pub memory_mb: u64,
    pub disk_mb: u64,
}

impl Settings {
    /// Where this process takes calls of other processes.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_ports.0)
    }

    /// Where this entry hands on other entries' calls to history hosts.
    pub fn relay_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.relay_port())
    }

    /// The port of [`Settings::relay_address`], alike at all entries.
    pub fn relay_port(&self) -> u16 {
        self.peer_ports.0 + 1
    }
}

impl Check for Settings {
    fn check(&self) -> Result<(), Invalid> {
        let (first, last) = self.peer_ports;
        match () {
            () if self.host.is_empty() => Err(Invalid::new("host", "is empty")),
            () if first >= last => Err(Invalid::new("peer_ports", "must be two ports or more")),
            () if self.stop_s <= 0.0 => Err(Invalid::new("stop_s", "must be above 0")),
            () => Ok(()),
        }
    }
}

/// An empty text stands for no value.
fn optional<'de, D, T>(from: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let text = Option::<String>::deserialize(from)?;
    match text.filter(|text| !text.is_empty()) {
        None => Ok(None),
        Some(text) => text.parse().map(Some).map_err(serde::de::Error::custom),
    }
}
