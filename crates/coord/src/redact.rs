//! Debug output without request and answer bodies, which must not appear in logs and dumps.

use std::fmt;
use std::fmt::Formatter;

use crate::decision::Begin;
use crate::record::Answer;
use crate::record::Outcome;
use crate::record::Record;
use crate::segment::Segment;

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.status)
            .field("bytes", &self.body.len())
            .field("prompt_tokens", &self.prompt_tokens)
            .field("completion_tokens", &self.completion_tokens)
            .finish()
    }
}

impl fmt::Debug for Segment {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Segment")
            .field("step", &self.step)
            .field("bytes", &self.input.len())
            .field("answer", &self.answer)
            .field("link", &self.link)
            .finish()
    }
}

impl fmt::Debug for Begin {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Begin")
            .field("call", &self.call)
            .field("attempt", &self.attempt)
            .field("target", &self.target)
            .field("bytes", &self.input.len())
            .finish()
    }
}

impl fmt::Debug for Record {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Record::Opened { program, .. } => write!(f, "Opened({program})"),
            Record::Child { program, .. } => write!(f, "Child({program})"),
            Record::Dispatched { call, attempt, .. } => {
                write!(f, "Dispatched({call:?}, {attempt})")
            }
            Record::Settled {
                call,
                attempt,
                outcome,
                ..
            } => write!(
                f,
                "Settled({call:?}, {attempt}, {})",
                outcome_label(outcome)
            ),
            Record::Ended {
                program, reason, ..
            } => write!(f, "Ended({program}, {reason:?})"),
            Record::Level {
                customer, spent, ..
            } => write!(f, "Level({customer}, {spent})"),
            Record::Forgotten { call, program } => write!(f, "Forgotten({call:?}, {program:?})"),
        }
    }
}

fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::NotRun => "not run",
        Outcome::Unknown => "unknown",
    }
}
