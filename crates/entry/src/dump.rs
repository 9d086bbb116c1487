//! The state of an entry for operators: no key, no prompt, no answer.

use coord::config::Name;
use coord::config::Revision;
use coord::id::SHARDS;
use coord::id::Shard;
use coord::program::Program;
use node::admin::Page;
use serde_json::Value;
use serde_json::json;

use crate::admission::Admission;
use crate::member::Member;
use crate::shards::slot::Role;
use crate::shards::slot::State;

/// The whole state; programs and configuration objects a page at a time.
pub fn state(member: &Member, admission: &Admission, page: &Page) -> Value {
    json!({
        "node": member.node(),
        "data_centre": member.settings().data_centre,
        "lease": lease(member),
        "map": map(member),
        "shards": shards(member),
        "config": config(member, page),
        "buckets": buckets(admission, page),
        "programs": programs(member, page),
        "platform": platform(member),
        "journal": { "backlog": member.journal().backlog() },
    })
}

fn lease(member: &Member) -> Value {
    json!({
        "fresh": member.fresh(),
        "version": member.lease.version(),
        "duration_ms": member.settings().lease.duration_ms,
    })
}

fn map(member: &Member) -> Value {
    let map = member.map();
    let members = map.members.iter().map(|member| {
        json!({
            "node": member.node,
            "data_centre": member.data_centre,
            "peers": member.peers,
            "leaving": member.leaving,
        })
    });
    json!({ "version": map.version, "members": members.collect::<Vec<_>>() })
}

fn shards(member: &Member) -> Vec<Value> {
    let map = member.map();
    (0..SHARDS)
        .map(Shard)
        .map(|shard| {
            let owner = map.owner(shard);
            let slot = member.shards().slot(shard);
            let state = slot.state.lock();
            json!({
                "shard": shard,
                "primary": owner.and_then(|owner| owner.primary.clone()),
                "standby": owner.and_then(|owner| owner.standby.clone()),
                "epoch": owner.map(|owner| owner.epoch),
                "here": here(&state),
            })
        })
        .collect()
}

fn here(state: &State) -> Value {
    json!({
        "role": format!("{:?}", state.role),
        "epoch": state.epoch,
        "records": state.next,
        "journalled": state.journalled,
        "standby_acked": state.link.as_ref().map(|link| link.acked),
        "ledger": state.replica.ledger().len(),
        "programs": state.replica.programs().count(),
    })
}

fn config(member: &Member, page: &Page) -> Value {
    let config = member.config();
    let mut entries: Vec<(&Name, &Revision)> = config.revisions().collect();
    entries.sort_by_key(|(name, _)| *name);
    let objects = entries.iter().skip(page.skip).take(page.limit).map(|(name, entry)| {
        json!({ "name": name, "ticket": entry.ticket, "removed": entry.object.is_none() })
    });
    json!({
        "newest": config.newest_ticket(),
        "objects": entries.len(),
        "page": objects.collect::<Vec<_>>(),
    })
}

fn buckets(admission: &Admission, page: &Page) -> Vec<Value> {
    let levels = admission
        .levels()
        .into_iter()
        .skip(page.skip)
        .take(page.limit);
    let shown = levels.map(
        |(customer, held, spent)| json!({ "customer": customer, "held": held, "spent": spent }),
    );
    shown.collect()
}

fn programs(member: &Member, page: &Page) -> Vec<Value> {
    let shown = |state: &State| -> Vec<Value> {
        let programs = state.replica.programs();
        programs
            .map(|(name, program)| summary(name, program))
            .collect()
    };
    (0..SHARDS)
        .map(Shard)
        .flat_map(|shard| {
            let slot = member.shards().slot(shard);
            let state = slot.state.lock();
            match state.role {
                Role::Primary => shown(&state),
                _ => Vec::new(),
            }
        })
        .skip(page.skip)
        .take(page.limit)
        .collect()
}

fn summary(name: &coord::id::Program, program: &Program) -> Value {
    json!({
        "program": name,
        "customer": program.customer,
        "step": program.last_step(),
        "busy": program.is_busy(),
        "tokens_left": program.tokens_left(),
        "calls_left": program.calls_left(),
    })
}

fn platform(member: &Member) -> Value {
    let stats = member.platform_stats();
    json!({
        "reads": stats.reads,
        "writes": stats.writes,
        "watches": stats.watches,
        "retries": stats.retries,
        "failures": stats.failures,
    })
}
