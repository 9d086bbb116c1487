//! Working sets: the few targets among which an entry chooses when a service has many.
//!
//! They are drawn at random, most of them from the own data centre, and one is exchanged from time
//! to time. Among that many random targets the least loaded is close to the least loaded of all.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coord::Map;
use coord::id;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::place::Service;
use crate::roster::Listed;
use crate::roster::Listing;

/// Targets in one working set.
pub const SIZE: usize = 16;
/// Targets of a set that come from the own data centre, if it has them.
const NEAR: usize = 12;
/// A set exchanges one target after this long.
const ROTATION: Duration = Duration::from_secs(15);
/// Draws for one place of a set.
const DRAWS: usize = 8;
/// A set is kept for this long after its last use.
const KEEP: Duration = Duration::from_secs(60);
/// Sets kept at most.
const SETS_LIMIT: usize = 1024;

#[derive(Debug)]
struct Drawn {
    /// The oldest first.
    members: Vec<id::Target>,
    turned: Instant,
    used: Instant,
}

/// The working sets of all services that were placed lately.
#[derive(Debug)]
pub struct Working {
    sets: Map<Service, Drawn>,
    random: StdRng,
}

impl Working {
    /// Draws from this seed.
    pub fn new(seed: u64) -> Working {
        Working {
            sets: Map::default(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// The service's working set; targets that aren't fit are exchanged.
    pub fn members(
        &mut self,
        service: &Service,
        listing: &Listing,
        fit: impl Fn(&Listed) -> bool,
        now: Instant,
    ) -> Vec<Arc<Listed>> {
        self.make_room(service);
        let fresh = || Drawn {
            members: Vec::new(),
            turned: now,
            used: now,
        };
        let set = self.sets.entry(service.clone()).or_insert_with(fresh);
        set.used = now;
        set.rotate(now);
        let known = |member: &id::Target| listing.position(member);
        let is_fit = |position: &usize| fit(&listing.all[*position]);
        let mut positions: Vec<usize> = set.members.iter().filter_map(known).collect();
        positions.retain(is_fit);
        let size = SIZE.min(listing.all.len());
        for _ in positions.len()..size {
            let near = positions.iter().filter(|place| listing.is_near(**place));
            let near = near.count() < NEAR;
            let drawn = draw(listing, &positions, near, is_fit, &mut self.random);
            positions.extend(drawn);
        }
        let members = positions
            .iter()
            .map(|place| Arc::clone(&listing.all[*place]));
        let members: Vec<Arc<Listed>> = members.collect();
        set.members = members.iter().map(|one| one.target.id.clone()).collect();
        members
    }

    /// Notes the use of a service whose targets are all candidates.
    pub fn note(&mut self, service: &Service, listing: &Listing, now: Instant) {
        self.make_room(service);
        let members = listing.all.iter().map(|listed| listed.target.id.clone());
        let set = Drawn {
            members: members.collect(),
            turned: now,
            used: now,
        };
        self.sets.insert(service.clone(), set);
    }

    /// Members of the sets used since then.
    pub fn used_since(&self, then: Instant) -> impl Iterator<Item = &id::Target> {
        let used = self.sets.values().filter(move |set| set.used >= then);
        used.flat_map(|set| &set.members)
    }

    /// Forgets sets out of use.
    pub fn forget(&mut self, now: Instant) {
        self.sets
            .retain(|_, set| now.saturating_duration_since(set.used) < KEEP);
    }

    fn make_room(&mut self, service: &Service) {
        if self.sets.len() < SETS_LIMIT || self.sets.contains_key(service) {
            return;
        }
        let oldest = self.sets.iter().min_by_key(|(_, set)| set.used);
        if let Some(oldest) = oldest.map(|(service, _)| service.clone()) {
            self.sets.remove(&oldest);
        }
    }
}

impl Drawn {
    fn rotate(&mut self, now: Instant) {
        let due = now.saturating_duration_since(self.turned) >= ROTATION;
        if due && !self.members.is_empty() {
            self.turned = now;
            self.members.remove(0);
        }
    }
}

/// A target that isn't in the set yet, from the wished side if it has one.
fn draw(
    listing: &Listing,
    taken: &[usize],
    near: bool,
    fit: impl Fn(&usize) -> bool,
    random: &mut StdRng,
) -> Option<usize> {
    let sides = match near {
        true => [&listing.near, &listing.far],
        false => [&listing.far, &listing.near],
    };
    sides
        .into_iter()
        .filter(|side| !side.is_empty())
        .find_map(|side| {
            let picks = (0..DRAWS).map(|_| side[random.random_range(0..side.len())]);
            let mut free = picks.filter(|pick| !taken.contains(pick) && fit(pick));
            free.next()
        })
}
