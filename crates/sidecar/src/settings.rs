//! Settings of the sidecar daemon.

use std::net::SocketAddr;

use coord::id::DataCentre;
use coord::id::Target;
use coord::time::Millis;
use node::log::Level;
use node::operator::Operator;
use node::settings::Check;
use node::settings::Invalid;
use sched::policy::Policy;
use serde::Deserialize;

/// Settings file of a sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this sidecar's target in the configuration.
    pub target: Target,
    pub data_centre: DataCentre,
    pub listen: Listen,
    /// Base URL of the target.
    pub url: String,
    pub kind: Kind,
    /// Base URL of the platform's object API, which stores the locks that give fencing numbers.
    #[serde(default)]
    pub platform: Option<String>,
    /// Base URL of the weight store, for model engines.
    #[serde(default)]
    pub weights: Option<String>,
    /// Whether the target refuses orders with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Salted hashes of operators' keys.
    #[serde(default)]
    pub operators: Vec<Operator>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub policy: Policy,
    #[serde(default)]
    pub log_level: Level,
}

/// Listening addresses of this sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for entries.
    pub peers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Kind of target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Limits of the target and its queue.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests that run at the target at once.
    pub slots: usize,
    /// Requests that wait in the queue.
    pub queue: usize,
    /// Assumed prompt processing of an engine in tokens per second, until it is measured.
    pub prefill_rate: u64,
    /// Assumed generation of an engine in tokens per second and request, until it is measured.
    pub decode_rate: u64,
    /// Time without a byte after which a target is considered hung.
    pub silence_ms: Millis,
    /// Largest answer, in bytes.
    pub answer_bytes: usize,
    /// Time for running requests to end on a planned stop.
    pub drain_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 16,
            queue: 1_024,
            prefill_rate: 8_000,
            decode_rate: 50,
            silence_ms: Millis(30_000),
            answer_bytes: 4 * 1024 * 1024,
            drain_ms: Millis(600_000),
        }
    }
}

impl Check for Settings {
    fn check(&self) -> Result<(), Invalid> {
        let urls = [
            Some(&self.url),
            self.platform.as_ref(),
            self.weights.as_ref(),
        ];
        let fields = ["url", "platform", "weights"];
        let invalid = urls
            .iter()
            .zip(fields)
            .find(|(url, _)| url.is_some_and(|url| !url.starts_with("http://")));
        match invalid {
            Some((_, field)) => Err(Invalid::new(
                field,
                "expected a URL that starts with http://",
            )),
            None if self.listen.peers == self.listen.admin => {
                Err(Invalid::new("listen.admin", "same address as peers"))
            }
            None if self.limits.slots == 0 => {
                Err(Invalid::new("limits.slots", "no request could run"))
            }
            None if self.kind == Kind::Plain && self.weights.is_some() => Err(Invalid::new(
                "weights",
                "only valid for a target of kind engine",
            )),
            None => Ok(()),
        }
    }
}
