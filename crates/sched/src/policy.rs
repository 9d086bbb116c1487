//! Settings of the scheduling policy.
//!
//! The baselines of a comparison are settings of the same code, so that nothing else differs.

use coord::time::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Order of a target's queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// By time of arrival.
    Fifo,
    /// Fair between customers, by time of arrival within a customer.
    Fair,
    /// Fair between customers, least attained service first within a customer.
    #[default]
    Full,
}

/// Choice of a call's target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest calls per slot.
    LeastLoaded,
    /// The target selected by a hash of program and target.
    Affinity,
    /// The target with the least expected completion time.
    #[default]
    Completion,
}

/// The scheduling policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Policy {
    /// Order of a target's queue.
    pub order: Order,
    /// Choice of a target.
    pub choice: Choice,
    /// From 0 (worst-served customer first) to 1 (program latency first).
    pub emphasis: f64,
    /// Waiting time that offsets 1000 tokens of attained service.
    pub ageing: Millis,
    /// Time by which a call is advanced if its program's cache is on the target.
    pub warm_bonus: Millis,
    /// Waiting time equivalent to 1000 tokens of a customer's share.
    pub share: Millis,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            order: Order::default(),
            choice: Choice::default(),
            emphasis: 0.25,
            ageing: Millis(50),
            warm_bonus: Millis(60_000),
            share: Millis(1_000),
        }
    }
}

impl Policy {
    /// Returns the emphasis clamped to 0..=1; 0 if it isn't finite.
    pub fn emphasis(&self) -> f64 {
        match self.emphasis.is_finite() {
            true => self.emphasis.clamp(0.0, 1.0),
            false => 0.0,
        }
    }
}
