//! A target, its sidecar and the path between the entries and both.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use crate::cut::Cut;
use crate::fleet::MODEL;
use crate::plan::Plan;
use crate::process::Process;

/// A target, its sidecar and the switch on the path from the entries.
#[derive(Debug)]
pub struct Target {
    pub name: String,
    pub fake: Process,
    pub url: SocketAddr,
    /// Arguments to start the target again.
    pub args: Vec<String>,
    pub sidecar: Process,
    pub settings: PathBuf,
    pub admin: SocketAddr,
    /// From entries to the sidecar.
    pub inward: Cut,
    pub kind: Kind,
}

/// What kind of target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Engine,
    Plain,
}

/// Arguments of a stand-in that appends its executions to `record`.
pub fn args(plan: &Plan, kind: Kind, url: SocketAddr, record: &Path) -> Vec<String> {
    let kind = match kind {
        Kind::Engine => vec![
            ("engine", String::new()),
            ("--model", MODEL.to_owned()),
            ("--slots", plan.slots.to_string()),
            ("--prefill-rate", plan.prefill_rate.to_string()),
            ("--decode-rate", plan.decode_rate.to_string()),
        ],
        Kind::Plain => vec![
            ("tool", String::new()),
            ("--work-ms", plan.work_ms.to_string()),
        ],
    };
    let common = [
        ("--listen", url.to_string()),
        ("--record", record.to_string_lossy().into_owned()),
    ];
    let crash = plan.crash_on.map(|text| ("--crash-on", text.to_owned()));
    let words = kind.into_iter().chain(common).chain(crash);
    let words = words.flat_map(|(name, value)| [name.to_owned(), value]);
    words.filter(|word| !word.is_empty()).collect()
}
