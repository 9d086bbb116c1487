//! Settings of an entry and of a history host.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;

use compact_str::CompactString;
use coord::id::DataCentre;
use node::log::Level;
use node::operator::Operator;
use node::settings::Check;
use node::settings::Invalid;
use rustix::process::Resource;
use serde::Deserialize;
use serde::Deserializer;

use crate::config::Region;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub host: CompactString,
    pub address: IpAddr,
    pub data_centre: DataCentre,
    /// Region of each data centre.
    #[serde(default)]
    pub regions: BTreeMap<DataCentre, Region>,
    pub listen: Listen,
    /// First and last port of the range for calls between the system's processes.
    pub peer_ports: (u16, u16),
    /// Addresses of some entries for initial contact; their ports are ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    pub first_start: bool,
    /// Number of disks that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Requests by which a customer's rate may be exceeded within a few seconds, over all entries.
    #[serde(default, deserialize_with = "optional")]
    pub rate_excess: Option<u32>,
    /// Times within which changes must be in force.
    #[serde(default)]
    pub bounds: Bounds,
    /// Address of the object store.
    pub object_store: SocketAddr,
    pub resources: Resources,
    /// Folder for stored data; `None` without a disk.
    #[serde(default, deserialize_with = "optional")]
    pub data_folder: Option<PathBuf>,
    /// Maximum duration of a graceful shutdown, in seconds.
    pub stop_s: f64,
    #[serde(default)]
    pub log_level: Level,
    /// Operators that may read a dump of the state.
    #[serde(default)]
    pub operators: Vec<Operator>,
}

/// Times within which a change that the object store has accepted must be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time for which a target that leaves still serves requests, in milliseconds.
    pub leave_ms: u64,
    /// Time within which a configuration must be in force, in milliseconds.
    pub config_ms: u64,
    /// Time within which an evacuation of a data centre must be in force, in milliseconds; none if
    /// operators don't order evacuations.
    #[serde(default, deserialize_with = "optional")]
    pub evacuate_ms: Option<u64>,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            leave_ms: 2000,
            config_ms: 2000,
            evacuate_ms: None,
        }
    }
}

/// Listening addresses of a process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    #[serde(default, deserialize_with = "optional")]
    pub callers: Option<SocketAddr>,
    /// For the load balancer's readiness probe.
    #[serde(default, deserialize_with = "optional")]
    pub ready: Option<SocketAddr>,
    /// For operators.
    #[serde(default, deserialize_with = "optional")]
    pub admin: Option<SocketAddr>,
}

/// Resource limits of the process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Share of one processor core.
    pub processor: f64,
    pub cores: usize,
    pub memory_mb: u64,
    pub disk_mb: u64,
    /// Descriptors that the process may open; the process's limit applies too.
    #[serde(default, deserialize_with = "optional")]
    pub descriptors: Option<u64>,
}

impl Resources {
    /// Number of descriptors that the process may open now.
    pub fn usable_descriptors(&self) -> u64 {
        let limit = descriptor_limit();
        self.descriptors.map_or(limit, |named| named.min(limit))
    }
}

/// The process's own limit of descriptors.
pub fn descriptor_limit() -> u64 {
    let limit = rustix::process::getrlimit(Resource::Nofile).current;
    limit.unwrap_or(u64::MAX)
}

impl Settings {
    /// Address for calls from other processes.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_ports.0)
    }

    /// Address where this entry relays other entries' calls to history hosts.
    pub fn relay_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.relay_port())
    }

    /// Address for datagrams with customers' usage.
    pub fn usage_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.relay_port())
    }

    /// Port of [`Settings::relay_address`], the same on all entries.
    pub fn relay_port(&self) -> u16 {
        self.peer_ports.0 + 1
    }
}

impl Check for Settings {
    fn check(&self) -> Result<(), Invalid> {
        let (first, last) = self.peer_ports;
        match () {
            () if self.host.is_empty() => Err(Invalid::new("host", "is empty")),
            () if first >= last => Err(Invalid::new(
                "peer_ports",
                "must be a range of at least two ports",
            )),
            () if self.bounds.leave_ms == 0 || self.bounds.config_ms == 0 => {
                Err(Invalid::new("bounds", "must be greater than 0"))
            }
            () if self.stop_s <= 0.0 => Err(Invalid::new("stop_s", "must be greater than 0")),
            () => Ok(()),
        }
    }
}

/// Deserializes an empty string as `None`.
fn optional<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let text = Option::<String>::deserialize(deserializer)?;
    match text.filter(|text| !text.is_empty()) {
        None => Ok(None),
        Some(text) => text.parse().map(Some).map_err(serde::de::Error::custom),
    }
}
