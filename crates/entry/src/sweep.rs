//! Ends programs that are over their time or idle, and forgets what is old, in the shards that this
//! node owns.

use std::sync::Arc;
use std::time::Duration;

use coord::id::SHARDS;
use coord::id::Shard;
use coord::record::Record;

use crate::call::Call;
use crate::clock::unix_ms;

/// How often each shard is swept.
const EVERY: Duration = Duration::from_secs(1);

/// Sweeps until the process ends.
pub async fn keep(call: Arc<Call>) {
    let mut tick = tokio::time::interval(EVERY);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        for number in 0..SHARDS {
            sweep(&call, Shard(number)).await;
        }
    }
}

async fn sweep(call: &Call, shard: Shard) {
    if call.member.authority(shard).is_none() {
        return;
    }
    let swept = call.member.shards().decide(shard, |replica| {
        let records = replica.sweep(unix_ms());
        let ended: Vec<_> = records.iter().filter_map(ended).collect();
        (records, ended)
    });
    let Ok((ended, durable)) = swept else {
        return;
    };
    if ended.is_empty() || durable.wait().await.is_err() {
        return;
    }
    ended
        .iter()
        .for_each(|program| call.caches.release(program));
    call.flight.settled(shard);
}

/// The program that a record ends.
pub fn ended(record: &Record) -> Option<coord::id::Program> {
    match record {
        Record::Ended { program, .. } => Some(program.clone()),
        _ => None,
    }
}
