//! Whether a program's budget holds one more turn.
//!
//! A turn is reserved at its most on `t + 1` disks before the accounts of enough disks are read, so
//! that of two turns reserved at the same time at least one sees the other. What was seen on any
//! disk counts once.

use coord::id::Request;

use crate::Map;
use crate::record::Entry;
use crate::record::State;

/// Turns in progress from which on an account is read once more before the last tokens are given
/// out: three turns that each saw only one other could pass the budget by more than one turn.
const CROWD: usize = 2;

/// Charges of one program, as far as seen.
#[derive(Debug, Clone, Default)]
pub struct View {
    charges: Map<Request, State>,
    /// Hash of the target of the newest turn, if one was shown.
    pub target: Option<u32>,
}

/// Whether a turn may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Granted,
    /// Read the account once more, then decide with [`View::decide`] as `confirmed`.
    Confirm,
    /// The budget doesn't hold the turn.
    Spent {
        /// Tokens that others have taken or may still take.
        taken: u64,
    },
}

impl View {
    /// Adds what one disk showed.
    pub fn merge(&mut self, charges: Vec<Entry>) {
        let newest = charges.iter().rev().find(|entry| entry.target != 0);
        self.target = newest.map(|entry| entry.target).or(self.target);
        for Entry { turn, state, .. } in charges {
            let known = self.charges.entry(turn).or_insert(state);
            *known = known.merge(state);
        }
    }

    /// Whether no other turn than this is known.
    pub fn is_first(&self, turn: &Request) -> bool {
        self.charges.keys().all(|other| other == turn)
    }

    /// Tokens that other turns than this have taken or may still take.
    pub fn taken_by_others(&self, turn: &Request) -> u64 {
        let others = self.charges.iter().filter(|(other, _)| *other != turn);
        others.map(|(_, state)| state.tokens()).sum()
    }

    /// Whether the budget holds this turn of at most `most` tokens.
    pub fn decide(&self, turn: &Request, most: u64, budget: u64, confirmed: bool) -> Verdict {
        let taken = self.taken_by_others(turn);
        let running = self
            .charges
            .iter()
            .filter(|(other, state)| *other != turn && matches!(state, State::Reserved(_)))
            .count();
        let crowd = (running as u64 + 1).saturating_mul(most);
        match taken.saturating_add(most) {
            all if all > budget => Verdict::Spent { taken },
            all if !confirmed && running >= CROWD && all.saturating_add(crowd) > budget => {
                Verdict::Confirm
            }
            _ => Verdict::Granted,
        }
    }
}
