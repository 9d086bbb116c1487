//! Metrics of this node's membership, read when they are collected.

use std::sync::Arc;
use std::sync::Weak;

use coord::shard::Counts;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use crate::member::Member;

/// A value by label, such as a role or a kind of call.
type Values = Vec<(&'static str, u64)>;

/// Registers the gauges and counters of a member.
pub fn observe(member: &Arc<Member>, meter: &Meter) {
    let gauge = |name, description, read| gauge(member, meter, name, description, read);
    gauge(
        "teasellever_lease_valid",
        "Whether the node holds a valid lease",
        |member| vec![("", u64::from(member.fresh()))],
    );
    gauge(
        "teasellever_shards",
        "Shards by the node's role",
        |member| {
            let Counts { primary, standby } = member.map().shard_counts(&member.node());
            vec![("primary", primary as u64), ("standby", standby as u64)]
        },
    );
    gauge(
        "teasellever_members",
        "Members in the shard map",
        |member| vec![("", member.map().members.len() as u64)],
    );
    gauge(
        "teasellever_config_ticket",
        "Highest ticket number in force",
        |member| vec![("", member.config().newest_ticket().0)],
    );
    gauge(
        "teasellever_journal_backlog_bytes",
        "Records not yet in the platform",
        |member| vec![("", member.journal().backlog() as u64)],
    );
    platform_calls(member, meter);
}

fn gauge(
    member: &Arc<Member>,
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    read: fn(&Member) -> Values,
) {
    let member: Weak<Member> = Arc::downgrade(member);
    meter
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |observer| {
            let values = member.upgrade().map(|member| read(&member));
            for (label, value) in values.unwrap_or_default() {
                observer.observe(value, &labels("role", label));
            }
        })
        .build();
}

fn platform_calls(member: &Arc<Member>, meter: &Meter) {
    let member: Weak<Member> = Arc::downgrade(member);
    meter
        .u64_observable_counter("teasellever_platform_calls")
        .with_description("Calls to the platform by kind, with retries and failures among them")
        .with_callback(move |observer| {
            let Some(member) = member.upgrade() else {
                return;
            };
            let stats = member.platform_stats();
            let kinds = [
                ("read", stats.reads),
                ("write", stats.writes),
                ("watch", stats.watches),
                ("retry", stats.retries),
                ("failure", stats.failures),
            ];
            for (kind, count) in kinds {
                observer.observe(count, &labels("kind", kind));
            }
        })
        .build();
}

fn labels(key: &'static str, value: &'static str) -> Vec<KeyValue> {
    match value {
        "" => Vec::new(),
        _ => vec![KeyValue::new(key, value)],
    }
}
