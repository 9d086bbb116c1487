//! What happens in a replay, and to what.

use sched::retry::Backoff;

use crate::engine::Course;
use crate::fleet::Kind;
use crate::trace::Step;

/// What happens next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A program arrives.
    Start(usize),
    /// A run asks for its next model call.
    Issue(usize),
    /// A call reaches its target's sidecar.
    Arrive(usize),
    /// A call's first token.
    First(usize),
    /// A call's last token.
    Done(usize),
    /// A run's pause or sub-agent ends.
    Resume(usize),
    /// An engine may take more prefill.
    Wake(usize),
    /// A run's cache was dropped by an engine.
    Evicted { run: usize, engine: usize },
    /// Loads are reported.
    Report(u64),
}

/// A program or sub-agent on its way.
#[derive(Debug)]
pub(crate) struct Run<'a> {
    pub program: usize,
    pub customer: usize,
    pub steps: &'a [Step],
    pub next: usize,
    pub root: usize,
    pub parent: Option<usize>,
    pub pending: usize,
    pub history: u64,
    pub computed: u64,
    pub attained: u64,
    pub calls: usize,
    pub held: Vec<(usize, u64)>,
    pub asked: Option<u64>,
    pub delay: Backoff,
    pub started: u64,
    pub ended: bool,
}

/// A call on its way.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    pub run: usize,
    pub kind: Kind,
    pub target: usize,
    pub input: u64,
    pub output: u64,
    pub cost: u64,
    pub issued: u64,
    pub transferred: u64,
    pub actual: u64,
    pub course: Course,
}
