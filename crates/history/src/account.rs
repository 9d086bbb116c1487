//! Budget check: decides whether a program's budget covers one more turn.
//!
//! A turn's maximum is reserved on `t + 1` disks before the account is read from a quorum, so that
//! of two concurrent reservations at least one sees the other. A charge that several disks report
//! is counted once.

use coord::id::Request;

use crate::Map;
use crate::record::Entry;
use crate::record::State;

/// Number of concurrent turns from which an account is read a second time before the last tokens
/// are granted: three turns that each saw only one other could exceed the budget by more than one
/// turn.
const CONFIRM_THRESHOLD: usize = 2;

/// Charges of one program, merged from the answers of several disks.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    charges: Map<Request, State>,
    /// Hash of the target of the newest turn with a target.
    pub target: Option<u32>,
}

/// Result of a budget check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Granted,
    /// The account must be read once more and passed to [`Snapshot::decide`] as `confirmed`.
    Confirm,
    /// The budget doesn't cover the turn.
    Spent {
        /// Tokens that other turns have used or reserved.
        taken: u64,
    },
}

impl Snapshot {
    /// Merges the charges that one disk returned.
    pub fn merge(&mut self, charges: Vec<Entry>) {
        let newest = charges.iter().rev().find(|entry| entry.target != 0);
        self.target = newest.map(|entry| entry.target).or(self.target);
        for Entry { turn, state, .. } in charges {
            let known = self.charges.entry(turn).or_insert(state);
            *known = known.merge(state);
        }
    }

    /// Whether the snapshot contains no turn other than `turn`.
    pub fn is_first(&self, turn: &Request) -> bool {
        self.charges.keys().all(|other| other == turn)
    }

    /// Tokens used or reserved by turns other than `turn`.
    pub fn taken_by_others(&self, turn: &Request) -> u64 {
        let others = self.charges.iter().filter(|(other, _)| *other != turn);
        others.map(|(_, state)| state.tokens()).sum()
    }

    /// Whether the budget covers a turn of up to `max_tokens` tokens; `confirmed` is set once the
    /// account was read a second time.
    pub fn decide(&self, turn: &Request, max_tokens: u64, budget: u64, confirmed: bool) -> Verdict {
        let taken = self.taken_by_others(turn);
        let running = self
            .charges
            .iter()
            .filter(|(other, state)| *other != turn && matches!(state, State::Reserved(_)))
            .count();
        let concurrent_max = (running as u64 + 1).saturating_mul(max_tokens);
        match taken.saturating_add(max_tokens) {
            total if total > budget => Verdict::Spent { taken },
            total
                if !confirmed
                    && running >= CONFIRM_THRESHOLD
                    && total.saturating_add(concurrent_max) > budget =>
            {
                Verdict::Confirm
            }
            _ => Verdict::Granted,
        }
    }
}
