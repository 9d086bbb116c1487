//! Data centres whose targets get no further requests, because operators evacuate them.
//!
//! Two entries read them from the object store; the others learn of them from reports. What is known has
//! the revision of the store's answer that it comes from, and is only replaced by that of a later one.

use coord::id::DataCentre;
use coord::time::Millis;
use coord::time::Time;
use node::object::Change;
use node::object::Object;
use node::object::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::Set;
use crate::adapter::Adapter;
use crate::follow::Event;

/// What an entry knows of the evacuations, in a report to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    pub revision: u64,
    /// Time since the object store's answer.
    pub age_ms: u64,
    pub data_centres: Vec<DataCentre>,
}

#[derive(Debug, Clone)]
struct Known {
    revision: Revision,
    data_centres: Set<DataCentre>,
    /// Latest time of an answer of the object store that shows them.
    confirmed: Time,
}

/// Evacuations as far as an entry knows.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    known: Option<Known>,
}

impl Evacuations {
    /// Applies what the object store answered to this entry; returns whether other data centres are
    /// evacuated now.
    pub fn apply(&mut self, event: &Event, adapter: &dyn Adapter, now: Time) -> bool {
        match event {
            Event::Listed(objects, revision) => {
                let data_centres = objects.iter().filter_map(|object| decode(object, adapter));
                self.replace(*revision, data_centres.collect(), now)
            }
            Event::Changed(changes, revision) => {
                let mut data_centres = self.data_centres().cloned().collect();
                for change in changes {
                    apply_change(&mut data_centres, change, adapter);
                }
                self.replace(*revision, data_centres, now)
            }
            Event::Unchanged(revision) => {
                let data_centres = self.data_centres().cloned().collect();
                self.replace(*revision, data_centres, now)
            }
            Event::Unavailable | Event::Available => false,
        }
    }

    /// Merges another entry's notice; returns whether other data centres are evacuated now.
    pub fn merge(&mut self, notice: &Notice, now: Time) -> bool {
        let confirmed = Time(now.0.saturating_sub(notice.age_ms));
        let data_centres = notice.data_centres.iter().cloned().collect();
        self.replace(Revision(notice.revision), data_centres, confirmed)
    }

    /// Replaces what is known, unless it is of a later revision.
    fn replace(
        &mut self,
        revision: Revision,
        data_centres: Set<DataCentre>,
        confirmed: Time,
    ) -> bool {
        let (is_later, changed) = match &self.known {
            Some(known) => (
                revision >= known.revision,
                known.data_centres != data_centres,
            ),
            None => (true, !data_centres.is_empty()),
        };
        if !is_later {
            return false;
        }
        let before = self.known.as_ref().map(|known| known.confirmed);
        self.known = Some(Known {
            revision,
            data_centres,
            confirmed: before.map_or(confirmed, |before| before.max(confirmed)),
        });
        changed
    }

    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.known.iter().flat_map(|known| &known.data_centres)
    }

    /// Time since the object store last showed the evacuations, to this entry or to the one that told it;
    /// none if they aren't known.
    pub fn age(&self, now: Time) -> Option<Millis> {
        self.known.as_ref().map(|known| now.since(known.confirmed))
    }

    /// Revision of the object store at which they were read; 0 if they aren't known.
    pub fn revision(&self) -> Revision {
        self.known
            .as_ref()
            .map_or(Revision::default(), |known| known.revision)
    }

    /// What to tell other entries; none if nothing is known.
    pub fn notice(&self, now: Time) -> Option<Notice> {
        let known = self.known.as_ref()?;
        let mut data_centres: Vec<DataCentre> = known.data_centres.iter().cloned().collect();
        data_centres.sort();
        Some(Notice {
            revision: known.revision.0,
            age_ms: now.since(known.confirmed).0,
            data_centres,
        })
    }
}

fn apply_change(data_centres: &mut Set<DataCentre>, change: &Change, adapter: &dyn Adapter) {
    match change {
        Change::Put(object) => data_centres.extend(decode(object, adapter)),
        Change::Deleted(name) => data_centres.retain(|known| known.as_str() != name),
    }
}

/// The data centre that an object evacuates; none, with a log line, if it can't be decoded.
fn decode(object: &Object, adapter: &dyn Adapter) -> Option<DataCentre> {
    match adapter.evacuation(object) {
        Ok(data_centre) => Some(data_centre),
        Err(error) => {
            log::warn!(
                step = "read evacuation", peer = object.name.as_str();
                "malformed evacuation is ignored: {error}"
            );
            None
        }
    }
}
