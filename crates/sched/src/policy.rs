//! Settings of the scheduling policy.
//!
//! The baselines are settings of the same code, so that a comparison changes nothing else.

use coord::time::Millis;
use serde::Deserialize;
use serde::Serialize;

/// How a target's queue is ordered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// By arrival.
    Fifo,
    /// Fair between customers, by arrival within one.
    Fair,
    /// Fair between customers, least attained service within one.
    #[default]
    Full,
}

/// How a call's target is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest calls for its slots.
    LeastLoaded,
    /// The target that the program's hash selects.
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
    /// From 0, worst-served customer first, to 1, program latency first.
    pub emphasis: f64,
    /// Waiting time that offsets a thousand tokens of attained service.
    pub ageing: Millis,
    /// Head start of a call whose program has its cache on the target.
    pub warm_bonus: Millis,
    /// Waiting time that counts as much as a thousand tokens of a customer's share.
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
    /// The emphasis, kept within its bounds.
    pub fn emphasis(&self) -> f64 {
        match self.emphasis.is_finite() {
            true => self.emphasis.clamp(0.0, 1.0),
            false => 0.0,
        }
    }
}
