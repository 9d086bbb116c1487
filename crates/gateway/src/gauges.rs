//! Gauges that are sampled whenever a process's metrics are read.

use std::collections::BTreeMap;
use std::sync::Arc;

use history::server::Server;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use crate::serve::intake::Usage;
use crate::serve::intake::stage::Stage;
use crate::state::State;

/// Registers the gauges of an entry.
pub fn observe_entry(meter: &Meter, state: &Arc<State>) {
    let gauge = |name: &'static str, description: &'static str, value: fn(&State) -> u64| {
        let state = Arc::downgrade(state);
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| {
                if let Some(state) = state.upgrade() {
                    observer.observe(value(&state), &[]);
                }
            })
            .build();
    };
    gauge(
        "teasellever_config_version",
        "Configuration in force",
        |state| state.version().0,
    );
    gauge(
        "teasellever_connections",
        "Connections to targets",
        |state| u64::from(state.pool.open()),
    );
    gauge(
        "teasellever_caller_connections_max",
        "Connections that callers may have",
        |state| state.intake.usage().limits.connections as u64,
    );
    gauge(
        "teasellever_caller_bytes",
        "Memory that callers' connections and requests occupy",
        |state| state.intake.usage().bytes as u64,
    );
    gauge(
        "teasellever_caller_bytes_max",
        "Memory that they may occupy",
        |state| state.intake.usage().limits.bytes as u64,
    );
    gauge(
        "teasellever_callers_rejected",
        "Connections and requests that found no room since the start",
        |state| state.intake.usage().rejected,
    );
    observe_stages(meter, state);
    gauge("teasellever_entries", "Entries known", |state| {
        state.entry_count() as u64
    });
    gauge(
        "teasellever_targets_limited",
        "Targets with limits",
        |state| state.limits.lock().count() as u64,
    );
    gauge(
        "teasellever_limit_use_percent",
        "Requests of all entries to a target in four seconds, relative to its limit: largest now",
        |state| state.limits.lock().use_percent(state.time()).0,
    );
    gauge(
        "teasellever_limit_use_max_percent",
        "The same: largest since the start",
        |state| state.limits.lock().use_percent(state.time()).1,
    );
    gauge("teasellever_targets_cold", "Cold targets", |state| {
        state.limits.lock().cold.count(state.time()) as u64
    });
    gauge(
        "teasellever_evacuated_data_centres",
        "Data centres whose targets get no requests",
        |state| state.evacuations.lock().data_centres().count() as u64,
    );
    gauge(
        "teasellever_evacuations_age_ms",
        "Time since the object store last showed the evacuations, to this entry or another",
        |state| {
            let age = state.evacuations.lock().age(state.time());
            age.map_or(0, |age| age.0)
        },
    );
    gauge(
        "teasellever_object_store_lost",
        "Whether the object store doesn't answer",
        |state| u64::from(state.is_object_store_lost()),
    );
    gauge(
        "teasellever_history_reached",
        "Whether enough history hosts answer, directly or through another entry",
        |state| u64::from(state.reaches_history()),
    );
}

/// Registers the gauges of callers' connections by stage.
fn observe_stages(meter: &Meter, state: &Arc<State>) {
    let gauge = |name: &'static str,
                 description: &'static str,
                 value: fn(Usage) -> BTreeMap<Stage, u64>| {
        let state = Arc::downgrade(state);
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| {
                let usage = state.upgrade().map(|state| state.intake.usage());
                for (stage, count) in usage.map(value).into_iter().flatten() {
                    observer.observe(count, &[KeyValue::new("stage", stage.label())]);
                }
            })
            .build();
    };
    gauge(
        "teasellever_caller_connections",
        "Connections of callers, by stage",
        |usage| usage.connections,
    );
    gauge(
        "teasellever_callers_evicted",
        "Connections that had to make room since the start, by their stage then",
        |usage| usage.evicted,
    );
}

/// Registers the gauges of a history host.
pub fn observe_history(meter: &Meter, server: &Arc<Server>) {
    let gauge = |name: &'static str, description: &'static str, value: fn(&Server) -> u64| {
        let server = Arc::downgrade(server);
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| {
                if let Some(server) = server.upgrade() {
                    observer.observe(value(&server), &[]);
                }
            })
            .build();
    };
    gauge("teasellever_turns", "Turns kept", |server| {
        server.size().0 as u64
    });
    gauge("teasellever_accounts", "Programs' budgets kept", |server| {
        server.size().1 as u64
    });
    gauge(
        "teasellever_turn_bytes",
        "Bytes of the turns kept",
        |server| server.size().2 as u64,
    );
    gauge(
        "teasellever_origins",
        "Requests whose stream's software version is kept",
        |server| server.origins() as u64,
    );
    gauge("teasellever_syncs", "Syncs since the start", |server| {
        server.syncs().0
    });
    gauge(
        "teasellever_sync_micros",
        "Time of all syncs, in microseconds",
        |server| server.syncs().1,
    );
    gauge(
        "teasellever_members",
        "Disks that the membership lists, those that are gone included",
        |server| server.membership().members.len() as u64,
    );
    gauge("teasellever_epoch", "Epoch of the membership", |server| {
        server.membership().epoch.0
    });
}
