//! Requests that crash their targets, as this node knows them from its own calls and from others.

use coord::time::Time;
use parking_lot::Mutex;
use sched::quarantine::Digest;
use sched::quarantine::Quarantine;
use sched::quarantine::Verdict;
use wire::Crashed;

/// What is known of crashes, shared by calls and heartbeats.
#[derive(Debug, Default)]
pub struct Shared(Mutex<Quarantine>);

impl Shared {
    /// Notes the death of a target.
    pub fn crashed(&self, crashed: &Crashed, now: Time) {
        let mut quarantine = self.0.lock();
        quarantine.record_crash_with_id(crashed.crash, &crashed.fingerprints, now);
    }

    /// Notes that a request ran to its end.
    pub fn completed(&self, fingerprint: u64) {
        self.0.lock().record_completion(fingerprint);
    }

    /// What may be done with a request.
    pub fn verdict(&self, fingerprint: u64, now: Time) -> Verdict {
        self.0.lock().check(fingerprint, now)
    }

    /// Number of requests remembered.
    pub fn len(&self) -> usize {
        self.0.lock().len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// News for others; empty for none.
    pub fn news(&self, now: Time) -> Vec<u8> {
        let digest = self.0.lock().digest(now);
        match digest.entries.is_empty() && digest.explained.is_empty() {
            true => Vec::new(),
            false => postcard::to_stdvec(&digest).unwrap_or_default(),
        }
    }

    /// Takes in another node's news.
    pub fn take(&self, news: &[u8], now: Time) {
        if news.is_empty() {
            return;
        }
        match postcard::from_bytes::<Digest>(news) {
            Ok(digest) => self.0.lock().merge(&digest, now),
            Err(error) => log::warn!(step = "quarantine"; "unreadable news: {error}"),
        }
    }
}
