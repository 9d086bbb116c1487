//! Follows the evacuations of data centres; see [`crate::target::evacuation`].
//!
//! Calls of the object store are paid, so only [`WATCHERS`] entries watch it, the first in an order that
//! all entries agree on. Reports bring what they learn to the others at once. An entry that learns
//! nothing for too long, as its reports don't arrive, asks the store itself.

use std::sync::Arc;
use std::time::Duration;

use coord::time::Millis;
use node::object::Kind;
use node::object::ObjectStore;

use crate::fleet::peers;
use crate::follow::Event;
use crate::follow::Follower;
use crate::freshness::CHANGE_RESERVE;
use crate::freshness::Freshness;
use crate::state::State;
use crate::target::evacuation::Notice;

/// Number of entries that watch the object store: one more than may fail without a delay.
const WATCHERS: usize = 2;

/// Part of the time within which an evacuation must be in force after which a watcher asks the store
/// again whether its watch has missed a change.
const CHECK_SHARE: f64 = 0.3;

/// Time in which an entry that has just started may learn of evacuations from others.
const FIRST_REPORTS: Duration = Duration::from_millis(500);

/// Interval at which an entry finds out whether it must ask the object store.
const INTERVAL: Duration = Duration::from_millis(250);

/// Follows the evacuations until the task is dropped; `bound` is the time within which one must be in
/// force.
pub async fn follow<S: ObjectStore>(objects: Arc<S>, state: Arc<State>, bound: Duration) {
    let freshness = Freshness::default();
    let follower = Follower {
        objects: &*objects,
        kind: Kind::Evacuations,
        freshness: &freshness,
        age_limit: || bound.mul_f64(CHECK_SHARE),
        random: rand::random,
    };
    tokio::time::sleep(history::join::jittered(FIRST_REPORTS)).await;
    loop {
        match state.watches_evacuations() {
            true => tokio::select! {
                () = follower.run(|_, event| state.apply_evacuations(event)) => {}
                () = until_relieved(&state) => {}
            },
            false if state.evacuations_are_overdue(bound) => read(&*objects, &state).await,
            false => tokio::time::sleep(INTERVAL).await,
        }
    }
}

/// Waits until other entries watch the object store.
async fn until_relieved(state: &State) {
    while state.watches_evacuations() {
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn read<S: ObjectStore>(objects: &S, state: &State) {
    match objects.list(Kind::Evacuations).await {
        Ok(listing) => state.apply_evacuations(&Event::Listed(listing.objects, listing.revision)),
        Err(error) => {
            log::info!(step = "read evacuations", peer = "platform"; "{error}");
            tokio::time::sleep(history::join::jittered(INTERVAL)).await;
        }
    }
}

impl State {
    /// Whether this entry is among those that watch the object store for evacuations.
    fn watches_evacuations(&self) -> bool {
        let own = self.settings.peer_address();
        let peers = self.peers.lock();
        peers.order_of_checks(own, Kind::Evacuations, self.time()) < WATCHERS
    }

    /// Whether the evacuations aren't known, or known for so long that this entry must ask itself.
    fn evacuations_are_overdue(&self, bound: Duration) -> bool {
        let reports = peers::interval(self.entry_count()) * 2;
        let usual = bound.mul_f64(CHECK_SHARE) + reports;
        let limit = usual.min(bound.saturating_sub(CHANGE_RESERVE));
        let age = self.evacuations.lock().age(self.time());
        age.is_none_or(|age| age > Millis(limit.as_millis() as u64))
    }

    /// Applies what the object store says of evacuations.
    pub(crate) fn apply_evacuations(&self, event: &Event) {
        let mut evacuations = self.evacuations.lock();
        if evacuations.apply(event, &*self.adapter, self.time()) {
            drop(evacuations);
            self.publish_evacuations("platform");
            self.report_soon.notify_one();
        }
    }

    /// Merges another entry's notice of evacuations.
    pub(crate) fn merge_evacuations(&self, notice: &Notice, host: &str) {
        let changed = self.evacuations.lock().merge(notice, self.time());
        if changed {
            self.publish_evacuations(host);
        }
    }

    /// Withdraws the targets of evacuated data centres, and returns the others.
    fn publish_evacuations(&self, source: &str) {
        let evacuations = self.evacuations.lock().clone();
        let notice = evacuations.notice(self.time());
        let names = notice.iter().flat_map(|notice| &notice.data_centres);
        let names: Vec<&str> = names.map(|name| name.as_str()).collect();
        log::info!(
            step = "learn evacuations", peer = source, data_centres = names.join(" "),
            revision = evacuations.revision().0,
            age_ms = notice.as_ref().map_or(0, |notice| notice.age_ms);
            "evacuated data centres changed"
        );
        let mut directory = self.directory.lock();
        directory.set_evacuated(evacuations.data_centres().cloned().collect());
        self.publish_services(&mut directory);
    }
}
