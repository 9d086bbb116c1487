//! Limits that targets name: what answers say, its exchange with the other entries, and the division
//! of limits among all entries; see [`crate::target::limits`].

use std::sync::atomic::Ordering;

use coord::allotment;
use coord::allotment::Holder;
use coord::limit::Statement;
use coord::time::Millis;
use coord::time::Time;
use http::StatusCode;

use crate::Map;
use crate::adapter::Limit;
use crate::adapter::Reply;
use crate::adapter::Target;
use crate::fleet::peers;
use crate::fleet::peers::Report;
use crate::state::State;
use crate::target::cold;
use crate::target::cold::Remaining;
use crate::target::departure::Incarnation;
use crate::target::hash;
use crate::target::limits::Notice;
use crate::target::limits::Source;

/// Among many entries, one report in this many has the requests sent to targets with limits: nothing is
/// decided by them.
const SENDINGS_PERIOD: u64 = 4;

/// Time after its start from which an entry that can't read the registered entries takes those that it has
/// heard of for all.
const FLEET_TIME: Millis = Millis(3_000);

impl State {
    /// Records what a target's answer to a request that was sent at `asked` says of its limit. Only a
    /// success without a limit ends one: other answers may come from a part of the target that doesn't
    /// know the limit.
    pub fn record_limit(&self, target: &Target, reply: &Reply, status: StatusCode, asked: Time) {
        let incarnation = Incarnation::of(target);
        let limit = match &reply.limit {
            Limit::Rate(limit) => Some(*limit),
            Limit::Absent if status.is_success() => None,
            Limit::Absent => return,
            Limit::Malformed(malformed) => {
                let mut limits = self.limits.lock();
                limits.record_malformed(incarnation, &target.id, &malformed.0);
                return;
            }
        };
        let now = self.time();
        let statement = Statement {
            limit,
            asked,
            answered: now,
        };
        let source = Source::Answer(target.id.clone());
        let changed = self
            .limits
            .lock()
            .merge(incarnation, statement, source, now);
        if changed {
            self.report_soon.notify_one();
        }
    }

    /// Merges the part of another entry's report that concerns limits.
    pub(crate) fn merge_limits(&self, report: &Report) {
        let peer = (hash::hash_parts(&[&report.host]), report.incarnation);
        let (notices, sent) = (&report.limits, &report.limited_sendings);
        let mut limits = self.limits.lock();
        limits.merge_report(peer, &report.host, notices, sent, self.time());
    }

    /// Whether this entry knows the others: it has read the registered ones, or had the time to hear of them.
    fn knows_fleet(&self) -> bool {
        let heard = self.time() >= Time(FLEET_TIME.0) && self.entry_count() > 1;
        self.entries_listed.load(Ordering::Relaxed) || heard
    }

    /// Records what a target's answer says of its being cold.
    pub fn record_cold(&self, target: &Target, remaining: Remaining) {
        let (hash, now) = (hash::target_hash(&target.id), self.time());
        let mut limits = self.limits.lock();
        limits.cold.record(hash, &target.service, remaining, now);
    }

    /// Cold targets for a report; none while the object store answers all entries, which then read the
    /// registrations themselves.
    pub(crate) fn cold_report(&self, since: Time) -> Vec<cold::Notice> {
        let now = self.time();
        let any_without_store = self.peers.lock().any_without_store(now);
        match any_without_store {
            true => self.limits.lock().cold.notices(since, now),
            false => Vec::new(),
        }
    }

    /// Merges the part of another entry's report that names cold targets.
    pub(crate) fn merge_cold(&self, notices: &[cold::Notice]) {
        let notices: Map<u32, &cold::Notice> = notices
            .iter()
            .map(|notice| (notice.target, notice))
            .collect();
        let directory = self.directory.lock();
        let mut limits = self.limits.lock();
        for target in directory.targets() {
            if let Some(notice) = notices.get(&hash::target_hash(&target.id)) {
                limits.cold.merge(**notice, &target.service, self.time());
            }
        }
    }

    /// Divides limits anew, and returns the part of this entry's report that concerns them: limits,
    /// requests sent to targets with limits, and demand.
    pub(crate) fn limit_report(&self, since: Time) -> (Vec<Notice>, Vec<(u32, u32)>, u8) {
        let now = self.time();
        let knows_fleet = self.knows_fleet();
        let peers = self.peers.lock();
        let any_newcomer = peers.any_newcomer(since);
        let mut limits = self.limits.lock();
        let demand = limits.update_demand(now);
        let mut holders = peers.holders(demand);
        drop(peers);
        let entry = peers::holder_id(self.settings.peer_address());
        // The others divide the limits without an entry that announces that it stops.
        if !self.is_draining() || holders.is_empty() {
            let weight = allotment::weight(demand);
            holders.push(Holder { entry, weight });
        }
        let holder_count = holders.len();
        let mut entries: Vec<u64> = match knows_fleet {
            true => holders.iter().map(|holder| holder.entry).collect(),
            false => Vec::new(),
        };
        entries.sort_unstable();
        limits.cold.divide(entry, &entries, now);
        limits.divide(entry, holders, now);
        let notices = limits.notices(since, any_newcomer, now);
        let sendings = match sendings_since(holder_count, now) {
            Some(since) => limits.sendings(since),
            None => Vec::new(),
        };
        (notices, sendings, demand)
    }
}

/// Time since which requests to targets with limits are in a report that is sent now; none if this one
/// has none.
fn sendings_since(entries: usize, now: Time) -> Option<Time> {
    let interval_ms = peers::interval(entries).as_millis() as u64;
    let is_due = peers::is_small(entries) || (now.0 / interval_ms).is_multiple_of(SENDINGS_PERIOD);
    is_due.then(|| Time(now.0.saturating_sub(2 * SENDINGS_PERIOD * interval_ms)))
}
