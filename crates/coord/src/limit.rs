//! Limits that targets name in their answers: how many requests a second a target takes from all
//! entries together, for as long as its answers say so.
//!
//! Answers on different connections overtake each other, and entries tell each other of answers with
//! some delay. Of two answers only the one whose request was sent after the other had come is certainly
//! the later one. Otherwise the lower limit holds; the next answer decides.

use crate::id::Rate;
use crate::time::Time;

/// What an answer says of its target's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// None if the answer names no limit.
    pub limit: Option<Rate>,
    /// When the request was sent.
    pub asked: Time,
    /// When the answer came.
    pub answered: Time,
}

impl Statement {
    /// Returns what holds after two statements, in whichever order they became known.
    pub fn merge(self, other: Statement) -> Statement {
        match () {
            () if self.limit == other.limit => Statement {
                limit: self.limit,
                asked: self.asked.max(other.asked),
                answered: self.answered.max(other.answered),
            },
            () if other.asked >= self.answered => other,
            () if self.asked >= other.answered => self,
            () if other.per_second() < self.per_second() => other,
            () => self,
        }
    }

    /// The limit in requests per second; infinite without a limit.
    fn per_second(&self) -> f64 {
        self.limit.map_or(f64::INFINITY, Rate::per_second)
    }
}
