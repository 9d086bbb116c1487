//! Keeping the log short: objects whose entries a later checkpoint covers are deleted.
//!
//! A node knows this of its own objects. What nodes that are gone have left behind is found by the
//! first member of the map, which reads the whole log now and then.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use coord::Map;
use coord::Set;
use coord::id::Epoch;
use coord::id::Shard;
use coord::id::Version;
use node::platform::Condition;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::journal;
use crate::journal::Body;
use crate::journal::Entry;
use crate::journal::Mark;
use crate::journal::News;
use crate::member::Member;
use crate::replay::newest_checkpoint;
use crate::replay::part;

/// Objects of this node's log over which old entries are replaced by checkpoints.
const OBJECTS: usize = 256;

/// Objects that are looked at together then.
const OLDEST: usize = 64;

/// Time between two readings of the whole log.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Objects deleted after one reading.
const SWEEP_LIMIT: usize = 256;

/// Time between two deletions.
const DELETE_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Object {
    name: String,
    number: u64,
    shards: Set<Shard>,
}

/// This node's objects and where each shard's newest whole checkpoint begins.
#[derive(Debug, Default)]
pub struct Compaction {
    objects: VecDeque<Object>,
    number: u64,
    begun: Map<Shard, u64>,
    newest: Map<Shard, u64>,
}

impl Compaction {
    /// Takes in an object that was written.
    pub fn written(&mut self, name: String, marks: &[Mark]) {
        self.number += 1;
        let number = self.number;
        for mark in marks {
            if mark.checkpoint.first {
                self.begun.insert(mark.shard, number);
            }
            if mark.checkpoint.last
                && let Some(begun) = self.begun.get(&mark.shard)
            {
                self.newest.insert(mark.shard, *begun);
            }
        }
        let shards = marks.iter().map(|mark| mark.shard).collect();
        self.objects.push_back(Object {
            name,
            number,
            shards,
        });
    }

    /// Takes out the objects of which later checkpoints cover everything.
    pub fn covered(&mut self) -> Vec<String> {
        let newest = &self.newest;
        let is_covered = |object: &Object| {
            let later = |shard: &Shard| newest.get(shard).is_some_and(|at| *at > object.number);
            object.shards.iter().all(later)
        };
        let (covered, kept): (VecDeque<Object>, VecDeque<Object>) =
            self.objects.drain(..).partition(is_covered);
        self.objects = kept;
        covered.into_iter().map(|object| object.name).collect()
    }

    /// Shards whose old entries keep the oldest objects, if there are too many; what stays
    /// afterwards belongs to other owners by now and is left to them.
    pub fn stale(&mut self) -> Set<Shard> {
        let stale = |object: &Object| object.shards.iter().copied().collect::<Vec<Shard>>();
        match self.objects.len() {
            count if count > 2 * OBJECTS => {
                self.objects.drain(..OLDEST);
                Set::default()
            }
            count if count > OBJECTS => self.objects.iter().take(OLDEST).flat_map(stale).collect(),
            _ => Set::default(),
        }
    }
}

/// Takes in what was written, tells the shards and deletes what is covered, until dropped.
pub async fn keep(member: Arc<Member>, mut news: mpsc::UnboundedReceiver<News>) {
    let mut compaction = Compaction::default();
    while let Some(news) = news.recv().await {
        match news {
            News::Written { object, marks } => {
                marks.iter().for_each(|mark| member.shards().written(mark));
                compaction.written(object, &marks);
                let stale = compaction.stale();
                stale
                    .iter()
                    .for_each(|shard| member.shards().checkpoint(*shard));
                tokio::spawn(delete(Arc::clone(&member), compaction.covered()));
            }
            News::Dropped(dropped) => {
                dropped
                    .iter()
                    .for_each(|shard| member.shards().checkpoint(*shard));
            }
        }
    }
}

async fn delete(member: Arc<Member>, objects: Vec<String>) {
    for object in objects {
        let _ = member.platform.delete(&object, Condition::Any).await;
        sleep(DELETE_INTERVAL).await;
    }
}

/// Reads the whole log now and then, as the map's first member, and deletes what is covered.
pub async fn sweep(member: Arc<Member>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let first = member.map().members.first().map(|first| first.node.clone());
        if first != Some(member.node()) || !member.fresh() {
            continue;
        }
        if let Ok(listing) = member.platform.list(journal::PREFIX, Version(0)).await {
            let objects = listing.objects.iter();
            let decoded = objects
                .filter_map(|object| Some((object.name.clone(), journal::decode(&object.value)?)));
            let mut covered = covered(decoded.collect());
            covered.truncate(SWEEP_LIMIT);
            delete(Arc::clone(&member), covered).await;
        }
    }
}

/// Names of the objects of which newer checkpoints cover everything.
pub fn covered(objects: Vec<(String, Vec<Entry>)>) -> Vec<String> {
    let mut shards: Map<Shard, Vec<Entry>> = Map::default();
    for entry in objects.iter().flat_map(|(_, entries)| entries) {
        shards.entry(entry.shard).or_default().push(entry.clone());
    }
    let newest: Map<Shard, (Epoch, u64)> = shards
        .into_iter()
        .filter_map(|(shard, mut entries)| {
            entries.sort_by_key(|entry| (entry.epoch, entry.first, part(&entry.body)));
            Some((shard, newest_checkpoint(&entries)?))
        })
        .collect();
    let is_old = |entry: &Entry| {
        let next = match &entry.body {
            Body::Records(records) => entry.first + records.len() as u64,
            Body::Part { .. } => entry.first + 1,
            Body::Checkpoint { .. } => entry.first + 1,
        };
        newest.get(&entry.shard).is_some_and(|(epoch, first)| {
            entry.epoch < *epoch || (entry.epoch == *epoch && next <= *first)
        })
    };
    let old = objects
        .into_iter()
        .filter(|(_, entries)| entries.iter().all(is_old));
    old.map(|(name, _)| name).collect()
}
