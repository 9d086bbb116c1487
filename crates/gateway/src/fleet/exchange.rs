//! Creates this entry's reports and sync messages and merges those of other entries.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use coord::time::Millis;
use coord::time::Time;
use history::time::Timestamp;
use node::object::Revision;
use tokio::time::Instant;

use crate::adapter::Target;
use crate::config::Version;
use crate::fleet::gossip;
use crate::fleet::news;
use crate::fleet::news::Request;
use crate::fleet::news::Response;
use crate::fleet::peers::Report;
use crate::state::State;
use crate::target::hash;

impl State {
    /// Adds the address of another entry, unless it is this entry's own.
    pub fn add_peer(&self, address: SocketAddr) {
        if address != self.settings.peer_address() {
            self.peers.lock().add(address, self.time());
        }
    }

    /// Merges another entry's report: its peers, running requests, cached prefixes, crashes and totals.
    pub fn merge_report(&self, address: SocketAddr, report: &Report) {
        let now = self.time();
        report
            .entries
            .iter()
            .for_each(|entry| self.add_peer(*entry));
        let mut peers = self.peers.lock();
        let silent_time = peers.record_report(address, report, now);
        let (fleet, running) = (peers.fleet(now), peers.running(now));
        drop(peers);
        let mut prefixes = self.prefixes.lock();
        for (prefix, target) in &report.cached_prefixes {
            prefixes.merge_use(*prefix, *target, now);
        }
        drop(prefixes);
        self.merge_crashes(report);
        self.merge_departures(report);
        self.merge_limits(report);
        if !report.cold.is_empty() {
            self.merge_cold(&report.cold);
        }
        if let Some(notice) = &report.evacuations {
            self.merge_evacuations(notice, &report.host);
        }
        for statement in &report.knowledge {
            self.freshness.merge(*statement, Instant::now());
        }
        let peer = (hash::hash_parts(&[&report.host]), report.incarnation);
        self.quotas
            .lock()
            .merge_report(peer, &report.totals, silent_time, fleet, now);
        for candidate in self.services().values().flatten() {
            let hash = hash::target_hash(&candidate.target.id);
            let elsewhere = running.get(&hash).copied().unwrap_or(0);
            let load = &candidate.load;
            load.running_elsewhere.store(elsewhere, Ordering::Relaxed);
            if report.failing.contains(&hash) {
                load.failed_elsewhere_ms.store(now.0, Ordering::Relaxed);
            }
        }
    }

    /// Merges what holds of a report whatever its age.
    pub fn merge_old_report(&self, report: &Report) {
        self.merge_crashes(report);
        self.merge_departures(report);
        // Counts as a report of an entry that isn't silent, so that what it is assumed to have used while it
        // was isn't taken off twice.
        let (fleet, now) = (self.fleet(), self.time());
        let peer = (hash::hash_parts(&[&report.host]), report.incarnation);
        self.quotas
            .lock()
            .merge_report(peer, &report.totals, Millis(0), fleet, now);
    }

    fn merge_crashes(&self, report: &Report) {
        let mut suspects = self.suspects.lock();
        for (request, crash) in &report.crashes {
            suspects.record_crash(*request, *crash, self.time());
        }
    }

    /// Recent crashes, and the others page by page while an entry may lack those that were sent before.
    fn crash_report(&self, now: Time, since: Time) -> Vec<(u64, u64)> {
        let any_return = self.peers.lock().any_return(since);
        let mut suspects = self.suspects.lock();
        let mut crashes = suspects.recent_crashes(now);
        if any_return {
            crashes.extend(suspects.next_crashes(now));
        }
        crashes
    }

    fn merge_departures(&self, report: &Report) {
        if report.departures.is_empty() {
            return;
        }
        let mut directory = self.directory.lock();
        for departure in &report.departures {
            if directory.merge_departure(*departure, Timestamp::now(), self.time()) {
                log::info!(
                    step = "learn target", peer = report.host.as_str(),
                    target_hash = departure.target, born = departure.born;
                    "another entry reports that a target leaves"
                );
            }
        }
        self.publish_services(&mut directory);
    }

    /// Returns this entry's report and the addresses that it is sent to.
    pub fn report(&self) -> (Report, Vec<SocketAddr>) {
        let now = self.time();
        let since = gossip::repeat_since(now, self.entry_count());
        let services = self.services();
        let running = services.values().flatten().filter_map(|candidate| {
            let running = candidate.load.running.load(Ordering::Relaxed);
            (running > 0).then(|| (hash::target_hash(&candidate.target.id), running))
        });
        let failing = services
            .values()
            .flatten()
            .filter(|candidate| candidate.load.fails_here(now.0))
            .map(|candidate| hash::target_hash(&candidate.target.id));
        let (limits, limited_sendings, demand) = self.limit_report(since);
        let cold = self.cold_report(since);
        let report = Report {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            version: self.version().0,
            store_reachable: !self.is_object_store_lost(),
            history_reachable: self.history_direct.load(Ordering::Relaxed),
            leaving: self.is_draining(),
            totals: self.quotas.lock().totals(since),
            running: running.collect(),
            cached_prefixes: self.prefixes.lock().own_uses(since),
            crashes: self.crash_report(now, since),
            entries: self.peers.lock().fresh_addresses(now),
            departures: self.directory.lock().recent_departures(now),
            failing: failing.collect(),
            knowledge: self.freshness.statements(Instant::now()),
            limits,
            limited_sendings,
            demand,
            evacuations: self.evacuations.lock().notice(now),
            cold,
        };
        (report, self.peers.lock().addresses())
    }

    /// Returns an entry from which to fetch the state that the object store doesn't provide now.
    ///
    /// Entries without an answering object store are eligible only while this one has no
    /// configuration.
    pub fn sync_peer(&self) -> Option<SocketAddr> {
        let peers = self.peers.lock();
        let now = self.time();
        match self.snapshot().is_some() {
            true => peers.newest_with_store(now),
            false => peers
                .newest_with_store(now)
                .or_else(|| peers.any_fresh(now)),
        }
    }

    /// Returns a request for state newer than this entry's.
    pub fn sync_request(&self) -> Request {
        Request {
            version: self.version().0,
            revision: self.directory.lock().revision.0,
        }
    }

    /// Returns the state of this entry that is newer than the request's.
    pub fn sync_response(&self, request: Request) -> Response {
        let newest = self.config.read();
        let config = newest.newer_than(Version(request.version));
        let config = config.map(|snapshot| snapshot.object.clone());
        drop(newest);
        let directory = self.directory.lock();
        let targets = (directory.revision.0 > request.revision).then(|| {
            let (limits, now) = (self.limits.lock(), self.time());
            let targets = directory.targets().cloned().map(|mut target| {
                let remaining = limits.cold.remaining(hash::target_hash(&target.id), now);
                target.cold = Some(remaining);
                target
            });
            let targets: Vec<Target> = targets.collect();
            (directory.revision.0, targets)
        });
        Response {
            config,
            targets,
            membership: self.history.membership(),
        }
    }

    /// Applies the newer state of another entry.
    pub fn apply_sync_response(&self, response: Response, peer: &str) {
        if let Some(text) = response.config {
            match news::parse_object(&text) {
                Ok(object) => self.read_config(&object),
                Err(error) => log::warn!(step = "read news", peer = peer; "{error}"),
            }
        }
        if let Some((revision, targets)) = response.targets {
            let mut directory = self.directory.lock();
            directory.apply_peer_snapshot(Revision(revision), targets, Instant::now());
            self.publish_services(&mut directory);
        }
        self.history.update_membership(response.membership);
    }
}
