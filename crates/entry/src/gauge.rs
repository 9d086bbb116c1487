//! Metrics that are read off the member when they are asked for.

use std::sync::Arc;

use coord::id::SHARDS;
use coord::id::Shard;
use node::platform::Stats;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use crate::member::Member;
use crate::shards::Role;

/// Registers the gauges of a member.
pub fn register(meter: &Meter, member: &Arc<Member>) {
    value(meter, member, "teasellever_lease_valid", |member| {
        u64::from(member.fresh())
    });
    value(meter, member, "teasellever_members", |member| {
        member.map().members.len() as u64
    });
    value(meter, member, "teasellever_newest_ticket", |member| {
        member.config().newest().0
    });
    value(meter, member, "teasellever_journal_backlog", |member| {
        member.journal().backlog() as u64
    });
    shards(meter, member);
    platform(meter, member);
}

fn value(
    meter: &Meter,
    member: &Arc<Member>,
    name: &'static str,
    read: impl Fn(&Member) -> u64 + Send + Sync + 'static,
) {
    let member = Arc::clone(member);
    let gauge = meter.u64_observable_gauge(name);
    gauge
        .with_callback(move |observer| observer.observe(read(&member), &[]))
        .build();
}

fn shards(meter: &Meter, member: &Arc<Member>) {
    let member = Arc::clone(member);
    meter
        .u64_observable_gauge("teasellever_shards")
        .with_description("Shards held here, by role")
        .with_callback(move |observer| {
            for (name, role) in [("primary", Role::Primary), ("standby", Role::Standby)] {
                let held = count(&member, role);
                observer.observe(held, &[KeyValue::new("role", name)]);
            }
        })
        .build();
}

fn count(member: &Member, role: Role) -> u64 {
    let has = |shard: &Shard| member.shards().slot(*shard).state.lock().role == role;
    (0..SHARDS).map(Shard).filter(has).count() as u64
}

fn platform(meter: &Meter, member: &Arc<Member>) {
    let member = Arc::clone(member);
    meter
        .u64_observable_counter("teasellever_platform_calls")
        .with_description("Calls to the platform, by kind")
        .with_callback(move |observer| {
            let Stats {
                reads,
                writes,
                watches,
                retries,
                failures,
            } = member.platform_stats();
            let kinds = [
                ("read", reads),
                ("write", writes),
                ("watch", watches),
                ("retry", retries),
                ("failure", failures),
            ];
            for (kind, calls) in kinds {
                observer.observe(calls, &[KeyValue::new("kind", kind)]);
            }
        })
        .build();
}
