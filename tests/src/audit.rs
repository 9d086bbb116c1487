//! Compares what callers were told with what the stand-ins executed.

use std::collections::BTreeMap;
use std::path::Path;

use eyre::WrapErr;
use parking_lot::Mutex;
use serde::Deserialize;

use crate::caller::Answer;

/// One execution that a stand-in recorded.
#[derive(Debug, Clone, Deserialize)]
pub struct Execution {
    /// The request's name at the target.
    pub request: String,
    /// Method and path, or the hash of the messages.
    pub what: String,
    /// Unix time, milliseconds.
    pub at_ms: u64,
}

/// One try of a request and what came of it.
#[derive(Debug, Clone)]
pub struct Try {
    /// Unix time, milliseconds.
    pub sent_ms: u64,
    pub answer: Answer,
}

/// All tries of all requests, by what the target records of them.
#[derive(Debug, Default)]
pub struct Audit {
    tries: Mutex<BTreeMap<String, Vec<Try>>>,
}

/// Counts of an audit that found no fault.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub requests: usize,
    pub answered: usize,
    pub unknown: usize,
    /// Refusals that said "not run".
    pub not_run: usize,
}

impl Audit {
    /// Notes a try; the tries of one request come one after another.
    pub fn note(&self, what: &str, sent_ms: u64, answer: &Answer) {
        let answer = answer.clone();
        let tried = Try { sent_ms, answer };
        self.tries
            .lock()
            .entry(what.to_owned())
            .or_default()
            .push(tried);
    }

    /// All tries, by request.
    pub fn tries(&self) -> BTreeMap<String, Vec<Try>> {
        self.tries.lock().clone()
    }

    /// Checks requests that may run at most once.
    ///
    /// Errors: one ran twice, ran after or before a "not run", or was answered without having run.
    pub fn check(&self, executions: &[Execution]) -> eyre::Result<Tally> {
        let mut tally = Tally::default();
        let mut faults = Vec::new();
        for (what, tries) in self.tries.lock().iter() {
            let ran: Vec<u64> = executions
                .iter()
                .filter(|execution| execution.what == *what)
                .map(|execution| execution.at_ms)
                .collect();
            faults.extend(faults_of(what, tries, &ran));
            tally.add(tries);
        }
        eyre::ensure!(faults.is_empty(), "{}", faults.join("\n"));
        Ok(tally)
    }
}

impl Tally {
    fn add(&mut self, tries: &[Try]) {
        let count =
            |holds: fn(&Answer) -> bool| tries.iter().filter(|tried| holds(&tried.answer)).count();
        self.requests += 1;
        self.answered += count(Answer::ok).min(1);
        self.unknown += count(|answer| answer.code() == "outcome-unknown").min(1);
        self.not_run += count(|answer| answer.ran() == "no");
    }
}

fn faults_of(what: &str, tries: &[Try], ran: &[u64]) -> Vec<String> {
    let mut faults = Vec::new();
    if ran.len() > 1 {
        faults.push(format!("{what} ran {} times: {ran:?}", ran.len()));
    }
    if ran.is_empty() && tries.iter().any(|tried| tried.answer.ok()) {
        faults.push(format!("{what} was answered and never ran"));
    }
    for (index, tried) in tries.iter().enumerate() {
        let next_ms = tries.get(index + 1).map_or(u64::MAX, |next| next.sent_ms);
        if tried.answer.ran() == "no" && ran.iter().any(|at_ms| *at_ms < next_ms) {
            let Answer { status, body, .. } = &tried.answer;
            faults.push(format!(
                "{what} ran at {ran:?}, told at try {index}: {status} {body}"
            ));
        }
    }
    if !faults.is_empty() {
        let told = tries.iter().map(|tried| {
            let Answer { status, body, .. } = &tried.answer;
            format!("  {} {status} {body}", tried.sent_ms)
        });
        faults.extend(told);
    }
    faults
}

/// Reads what a stand-in recorded; a record survives a crash.
///
/// Errors: a malformed record.
pub fn executions(folder: &Path, target: &str) -> eyre::Result<Vec<Execution>> {
    let file = folder.join(format!("{target}.executions"));
    let text = std::fs::read_to_string(&file).unwrap_or_default();
    let lines = text.lines().map(serde_json::from_str);
    lines
        .collect::<Result<_, _>>()
        .wrap_err("reading a record of executions")
}
