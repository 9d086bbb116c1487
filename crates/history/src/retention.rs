//! Retention of chains: chooses the turns that are stored again with a turn that continues them.
//!
//! A stored turn extends its predecessors on the disks that have them. It may be stored on disks that
//! lack some: the membership has changed in between, or other disks were faster. An entry that stores a
//! turn therefore adds those predecessors that are not certainly retained about as long. Each of the
//! disks that acknowledge the turn then has them and retains them with it; a disk that had them before
//! writes nothing for them.
//!
//! How long a turn is certainly retained, an entry knows of turns that it has stored itself. Of others
//! it knows their own expiry, as they were once stored with it on `t + 1` disks. How long the disk that
//! it reads from retains them proves nothing about the other disks.

use std::time::Duration;

use coord::id::Request;

use crate::record::Record;
use crate::record::Turn;
use crate::time::Timestamp;

/// Time by which a turn may outlast the certain retention of its predecessors. [`CLOCK_SLACK`] covers it
/// together with the slack of extensions, 5 s, and leaves 10 s for clocks that differ.
///
/// [`CLOCK_SLACK`]: crate::time::CLOCK_SLACK
const MAX_LEAD: Duration = Duration::from_secs(15);

/// Maximum size of the contents that are added to one call, in bytes. The call is sent to `t + 1` disks
/// or more, and each copy takes as much of the entry's memory.
const BATCH_BYTES: usize = 2 * 1024 * 1024;

/// A turn that another one continues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Predecessor {
    pub turn: Turn,
    /// Time until which `t + 1` disks certainly retain the turn.
    pub retained: Timestamp,
}

/// Predecessors to store again with a turn that is retained until `expires`, oldest first, as they are
/// given: the oldest one that needs it and all after it, since a disk extends a chain up to the first
/// turn that it lacks.
pub fn due(predecessors: &[Predecessor], expires: Timestamp) -> Vec<Turn> {
    let is_due = |predecessor: &Predecessor| predecessor.retained.after(MAX_LEAD) < expires;
    let first = predecessors.iter().position(is_due);
    let due = &predecessors[first.unwrap_or(predecessors.len())..];
    due.iter()
        .map(|predecessor| predecessor.turn.clone())
        .collect()
}

/// Ids of turns.
pub fn ids(turns: &[Turn]) -> Vec<Request> {
    turns.iter().map(|turn| turn.id.clone()).collect()
}

/// Records that store a turn, with predecessors, oldest first, and other records; one call each, in
/// this order. The last call contains the turn.
pub fn batches(turn: Turn, predecessors: Vec<Turn>, others: Vec<Record>) -> Vec<Vec<Record>> {
    let expires = turn.expires;
    // In the turn's own call they keep their own expiry, as the turn extends them there.
    let mut last = vec![Record::Turn(turn)];
    last.extend(others);
    let mut batches = Vec::new();
    let mut bytes = 0;
    let mut predecessors = predecessors;
    while let Some(predecessor) = predecessors.pop() {
        if bytes > 0 && bytes + predecessor.content.len() > BATCH_BYTES {
            predecessors.push(predecessor);
            break;
        }
        bytes += predecessor.content.len();
        last.insert(0, Record::Turn(predecessor));
    }
    // The others may be stored on other disks than the turn, so they bring the expiry themselves.
    let mut batch = Vec::new();
    bytes = 0;
    for mut predecessor in predecessors {
        if bytes > 0 && bytes + predecessor.content.len() > BATCH_BYTES {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
        bytes += predecessor.content.len();
        predecessor.expires = predecessor.expires.max(expires);
        batch.push(Record::Turn(predecessor));
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches.push(last);
    batches
}
