//! Recorded traces: a head line, then one line for each program in order of arrival.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;

use coord::id::Customer;
use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;

/// Calls that a program may make before it ends as looped.
pub const CALL_LIMIT: usize = 64;

/// Longest pause before a program ends as idle, in milliseconds.
pub const IDLE_LIMIT_MS: u32 = 60_000;

/// Stated outcome of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Runs to its last step.
    Finished,
    /// Ends at the bound on calls.
    Looped,
    /// Ends while a tool hangs.
    Idle,
}

/// A customer of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name.
    pub name: Customer,
    /// Share of the targets.
    pub weight: u32,
    /// Calls a second.
    pub rate: f64,
    /// Calls at once.
    pub burst: u32,
    /// Instructions at the head of each of its programs, in tokens.
    pub prompt: u32,
}

/// A time in which one customer sends several times its rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Flood {
    /// Who sends it.
    pub customer: Customer,
    /// Start, in milliseconds.
    pub from: u64,
    /// End, in milliseconds.
    pub to: u64,
    /// What it sends over its rate.
    pub factor: f64,
}

/// First line: the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Name.
    pub deployment: String,
    /// Seed of the generator.
    pub seed: u64,
    /// Length, in milliseconds.
    pub length: u64,
    /// Entry hosts.
    pub entries: u32,
    /// Model servers.
    pub engines: u32,
    /// Plain services.
    pub services: u32,
    /// One way between data centres, in microseconds.
    pub hop: u64,
    /// Customers.
    pub customers: Vec<Account>,
    /// The flood.
    pub flood: Flood,
}

/// One turn: a model call, then a tool and sub-agents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Tokens added to the history before the call.
    #[serde(rename = "i")]
    pub input: u32,
    /// Tokens decoded.
    #[serde(rename = "o")]
    pub output: u32,
    /// Length of the pause after the call, in milliseconds.
    #[serde(rename = "p")]
    pub pause: u32,
    /// Whether the pause is a call to a plain service.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub service: bool,
    /// Sub-agents that run during the pause; the next turn waits for all.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub agents: Vec<Vec<Step>>,
}

/// A program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Arrival, in milliseconds.
    pub at: u64,
    /// Position of its customer in the head.
    #[serde(rename = "c")]
    pub customer: usize,
    /// Whether it belongs to the flood.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub flood: bool,
    /// Stated outcome.
    #[serde(rename = "end")]
    pub outcome: Outcome,
    /// Turns.
    pub steps: Vec<Step>,
}

/// A recorded trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// The deployment.
    pub head: Head,
    /// Programs by arrival.
    pub programs: Vec<Program>,
}

impl Trace {
    /// Reads a trace.
    pub fn read(path: &Path) -> eyre::Result<Trace> {
        let file = File::open(path).wrap_err_with(|| format!("open {}", path.display()))?;
        let mut lines = BufReader::new(file).lines();
        let head = lines
            .next()
            .ok_or_else(|| eyre::eyre!("{} is empty", path.display()))??;
        let head = serde_json::from_str(&head).wrap_err("head line")?;
        let program = |(number, line): (usize, std::io::Result<String>)| {
            serde_json::from_str(&line?).wrap_err_with(|| format!("line {}", number + 2))
        };
        let programs = lines
            .enumerate()
            .map(program)
            .collect::<eyre::Result<_>>()?;
        Ok(Trace { head, programs })
    }

    /// Writes a trace.
    pub fn write(&self, path: &Path) -> eyre::Result<()> {
        let file = File::create(path).wrap_err_with(|| format!("create {}", path.display()))?;
        let mut out = BufWriter::new(file);
        writeln!(out, "{}", serde_json::to_string(&self.head)?)?;
        for program in &self.programs {
            writeln!(out, "{}", serde_json::to_string(program)?)?;
        }
        out.flush()
            .wrap_err_with(|| format!("write {}", path.display()))
    }
}

/// All model calls among these turns, those of sub-agents too.
pub fn calls(steps: &[Step]) -> usize {
    let agents = |step: &Step| step.agents.iter().map(|agent| calls(agent)).sum::<usize>();
    steps.iter().map(|step| 1 + agents(step)).sum()
}
