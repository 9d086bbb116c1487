//! State dump of the process for operators, without keys or prompts.

use std::sync::Arc;

use node::admin::Page;
use node::admin::Source;
use node::metrics::Metrics;
use node::operator::Operator;
use serde_json::Value;
use serde_json::json;

use crate::health::Reach;
use crate::state::State;

/// Source of the administrative server's dump, health check and metrics.
#[derive(Debug, Clone)]
pub struct Dump(pub Arc<State>);

impl Source for Dump {
    fn dump(&self, page: &Page) -> Value {
        let state = &self.0;
        let depth = state.queue.depth();
        json!({
            "target": state.settings.target.as_str(),
            "data_centre": state.settings.data_centre.as_str(),
            "incarnation": state.incarnation,
            "draining": state.is_draining(),
            "reach": format!("{:?}", state.health.reach()).to_lowercase(),
            "life": state.health.life(),
            "models": *state.models.lock(),
            "wanted": wanted(state),
            "queue": {
                "queued": depth.queued,
                "queued_tokens": depth.queued_tokens.0,
                "running": depth.running,
                "running_tokens": depth.running_tokens.0,
                "slots": state.queue.slots(),
            },
            "rates": {
                "prefill": state.meter.prefill_rate(),
                "decode": state.meter.decode_rate(),
            },
            "attempts": state.ledger.lock().len(),
            "epochs": epochs(state),
            "cache": cache(state, page),
            "failures": state.failures(),
        })
    }

    fn healthy(&self) -> bool {
        !self.0.is_draining() && self.0.health.reach() != Reach::Down
    }

    fn metrics(&self) -> &Metrics {
        &self.0.metrics.registry
    }

    fn operators(&self) -> &[Operator] {
        &self.0.settings.operators
    }
}

fn wanted(state: &State) -> Value {
    match state.wanted() {
        Some(wanted) => json!({ "ticket": wanted.ticket.0, "models": wanted.models }),
        None => Value::Null,
    }
}

fn epochs(state: &State) -> Value {
    let ledger = state.ledger.lock();
    let epochs = ledger.epochs();
    epochs
        .map(|(shard, epoch)| (shard.to_string(), Value::from(epoch.0)))
        .collect::<serde_json::Map<_, _>>()
        .into()
}

fn cache(state: &State, page: &Page) -> Value {
    let now = state.clock.now();
    let leases = state.leases.lock();
    let mut programs: Vec<_> = leases.remaining(now).collect();
    programs.sort();
    let shown = programs.iter().skip(page.skip).take(page.limit);
    shown
        .map(|(program, remaining)| json!({ "program": program, "left_ms": remaining.0 }))
        .collect()
}
