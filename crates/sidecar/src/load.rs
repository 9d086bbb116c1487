//! Load report of the target for entries.

use coord::id::Target;
use wire::Load;

use crate::meter::Meter;
use crate::queue::Depth;
use crate::upstream::Report;

/// Inputs of a load report.
#[derive(Debug)]
pub struct Sources<'a> {
    pub target: &'a Target,
    pub incarnation: &'a str,
    pub draining: bool,
    pub slots: usize,
    pub depth: Depth,
    pub models: Vec<String>,
    pub report: Report,
    pub meter: &'a Meter,
}

/// Builds the load report.
pub fn report(sources: Sources<'_>) -> Load {
    let depth = sources.depth;
    Load {
        target: sources.target.to_string(),
        incarnation: sources.incarnation.to_owned(),
        draining: sources.draining,
        running: depth.running as u32,
        queued: depth.queued as u32,
        slots: sources.slots as u32,
        queued_tokens: depth.queued_tokens.0,
        running_tokens: depth.running_tokens.0,
        models: sources.models,
        cache_used: sources.report.cache_used,
        cache_size: sources.report.cache_size,
        prefill_rate: sources.meter.prefill_rate(),
        decode_rate: sources.meter.decode_rate(),
        age_ms: 0,
    }
}
