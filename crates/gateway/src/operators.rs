//! Administration interface of a process: state dump, metrics and health.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use history::server::Server;
use node::admin;
use node::admin::Page;
use node::admin::Source;
use node::metrics::Metrics;
use node::operator::Operator;
use serde_json::Value;
use serde_json::json;

use crate::serve::intake::stage::Stage;
use crate::serve::memory::Source as MemorySource;
use crate::state::State;
use crate::target::departure::Incarnation;
use crate::target::hash;

/// Number of customers in a dump whose requests occupy most memory.
const LARGEST_CUSTOMERS: usize = 5;

/// Process whose state is shown.
#[derive(Debug)]
pub enum Process {
    Entry(Arc<State>),
    History(Arc<Server>),
}

/// Data source of a process's administration interface.
#[derive(Debug)]
pub struct View {
    pub process: Process,
    pub metrics: Metrics,
    pub operators: Vec<Operator>,
}

impl Source for View {
    fn dump(&self, page: &Page) -> Value {
        match &self.process {
            Process::Entry(state) => dump_entry(state, page),
            Process::History(server) => dump_history(server),
        }
    }

    fn healthy(&self) -> bool {
        match &self.process {
            Process::Entry(state) => state.is_ready(),
            Process::History(server) => !server.joining(),
        }
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn operators(&self) -> &[Operator] {
        &self.operators
    }
}

/// Dumps the state of an entry, without keys and prompts.
fn dump_entry(state: &State, page: &Page) -> Value {
    let services = state.services();
    let now = state.time();
    let targets = services.values().flatten().skip(page.skip).take(page.limit);
    let targets: Vec<Value> = targets
        .map(|entry| {
            let health = entry.load.health.lock().clone();
            json!({
                "id": entry.target.id.as_str(),
                "service": entry.target.service.as_str(),
                "version": entry.target.version_text(),
                "address": entry.target.address,
                "running_here": entry.load.running.load(Ordering::Relaxed),
                "running_elsewhere": entry.load.running_elsewhere.load(Ordering::Relaxed),
                "failures_in_a_row": entry.load.consecutive_failures.load(Ordering::Relaxed),
                "failing_share": health.failing_share(now),
                "event_us": health.event_interval_us(),
                "limit": state.limits.lock().view(Incarnation::of(&entry.target), now),
                "cold": state.limits.lock().cold.view(hash::target_hash(&entry.target.id), now),
            })
        })
        .collect();
    let evacuations = state.evacuations.lock();
    let evacuated: Vec<&str> = evacuations
        .data_centres()
        .map(|name| name.as_str())
        .collect();
    let age = evacuations.age(now);
    json!({
        "host": state.settings.host.as_str(),
        "version": state.version().0,
        "ready": state.is_ready(),
        "draining": state.is_draining(),
        "object_store_lost": state.is_object_store_lost(),
        "history": state.history.membership(),
        "entries": state.entry_count(),
        "entries_silent": state.fleet().silent,
        "evacuated": evacuated,
        "evacuations_age_ms": age.map(|age| age.0),
        "connections": state.pool.open(),
        "callers": dump_callers(state),
        "targets": targets,
    })
}

/// Dumps what callers' connections and requests occupy, and the customers whose requests occupy most.
fn dump_callers(state: &State) -> Value {
    let usage = state.intake.usage();
    let snapshot = state.snapshot();
    let customers = snapshot.iter().flat_map(|s| &s.table.config.customers);
    let mut customers: Vec<(&str, usize)> = customers
        .map(|customer| customer.name.as_str())
        .map(|name| (name, state.intake.taken(MemorySource::customer(name))))
        .filter(|(_, bytes)| *bytes > 0)
        .collect();
    customers.sort_by_key(|(name, bytes)| (Reverse(*bytes), *name));
    customers.truncate(LARGEST_CUSTOMERS);
    let customers = customers
        .into_iter()
        .map(|(name, bytes)| json!({ "customer": name, "bytes": bytes }));
    json!({
        "connections": by_label(&usage.connections),
        "connections_max": usage.limits.connections,
        "bytes": usage.bytes,
        "bytes_max": usage.limits.bytes,
        "unauthenticated_bytes": state.intake.taken(MemorySource::unauthenticated()),
        "largest_customers": customers.collect::<Vec<Value>>(),
        "evicted": by_label(&usage.evicted),
        "rejected": usage.rejected,
    })
}

fn by_label(counts: &BTreeMap<Stage, u64>) -> BTreeMap<&'static str, u64> {
    let counts = counts.iter();
    counts
        .map(|(stage, count)| (stage.label(), *count))
        .collect()
}

fn dump_history(server: &Server) -> Value {
    let (turns, accounts, bytes) = server.size();
    json!({
        "disk": server.disk().to_string(),
        "membership": server.membership(),
        "joining": server.joining(),
        "turns": turns,
        "accounts": accounts,
        "turn_bytes": bytes,
        "origins": server.origins(),
    })
}

/// Serves operators in a background task. If the address can't be bound, logs the error and
/// returns, so that callers are still served.
pub fn serve(address: SocketAddr, view: View) {
    match admin::serve(address, admin::api_description::<View>(), view) {
        Ok(server) => {
            tokio::spawn(server);
        }
        Err(error) => {
            log::error!(step = "serve operators", peer:% = address; "{error:#}");
        }
    }
}
