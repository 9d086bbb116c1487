//! Watches other members, to notice one that is gone.
//!
//! Each member watches the `t + 1` that follow it in the membership, so that one of the watchers answers
//! while `t` others don't. The nearest watcher acts first.

use std::time::Duration;

use futures::future::join_all;
use node::link::Link;
use tokio::time::Instant;

use crate::Map;
use crate::copy;
use crate::join;
use crate::membership::Member;
use crate::record::Disk;
use crate::record::Host;
use crate::server::Server;

/// Mean delay between calls to the watched members.
const CHECK_DELAY: Duration = Duration::from_millis(1000);

/// Mean delay between such calls while one of the members doesn't answer.
const RECHECK_DELAY: Duration = Duration::from_millis(300);

/// Time for which a member hasn't answered when its nearest watcher reports it. Killed and suspended hosts
/// are usually back before.
const SILENCE: Duration = Duration::from_millis(3000);

/// Additional time for each watcher between the member and a watcher that is further away.
const WATCHER_DELAY: Duration = Duration::from_millis(2000);

/// Number of calls in a row without an answer after which a member is reported; one call also fails if the
/// watching host was suspended.
const FAILURE_LIMIT: usize = 2;

/// Maximum number of times the silence is doubled for a host that was evicted before and came back.
const MAX_DOUBLINGS: u32 = 5;

/// Time without a further eviction after which a host's earlier ones are forgotten.
const MEMORY: Duration = Duration::from_secs(300);

#[derive(Debug, Clone, Copy)]
struct Silence {
    /// Start of the first call without an answer.
    since: Instant,
    failures: usize,
}

/// Members that one host watches.
#[derive(Debug, Default)]
pub struct Watch {
    links: Map<Disk, Link>,
    silent: Map<Disk, Silence>,
    /// Number of times that this host has evicted each of the others, and when it last did.
    evicted: Map<Host, (u32, Instant)>,
}

impl Watch {
    /// Waits until a watched member has been silent for long enough.
    pub async fn next_silent(
        &mut self,
        server: &Server,
        me: Disk,
        tolerated_losses: usize,
    ) -> Member {
        loop {
            let watched = self.observe(server, me, tolerated_losses).await;
            let due = watched.into_iter().enumerate();
            let mut due = due.filter(|(distance, member)| self.is_due(*distance, member));
            if let Some((_, member)) = due.next() {
                self.silent.remove(&member.disk);
                return member;
            }
        }
    }

    /// Checks the watched members, as long as it is polled: what is known of them would be outdated afterwards.
    pub async fn keep_observing(&mut self, server: &Server, me: Disk, tolerated_losses: usize) {
        loop {
            self.observe(server, me, tolerated_losses).await;
        }
    }

    /// Waits until the next check, checks the watched members, and returns them.
    async fn observe(&mut self, server: &Server, me: Disk, tolerated_losses: usize) -> Vec<Member> {
        let delay = match self.silent.is_empty() {
            true => CHECK_DELAY,
            false => RECHECK_DELAY,
        };
        tokio::time::sleep(join::jittered(delay)).await;
        let membership = server.membership();
        // Without a spare disk there is nothing to do: a member that is gone has to be replaced.
        let watched = match membership.has_spare(tolerated_losses) {
            true => membership.followers(me, tolerated_losses + 1),
            false => Vec::new(),
        };
        self.check(&watched).await;
        watched
    }

    /// Records that this host has evicted another one. If that one comes back, it was only out of reach, and
    /// is given more time to answer.
    pub fn record_eviction(&mut self, host: &Host) {
        let count = self.evictions(host) + 1;
        self.evicted.insert(host.clone(), (count, Instant::now()));
    }

    /// Number of times that this host has evicted another one lately.
    fn evictions(&self, host: &Host) -> u32 {
        let evicted = self.evicted.get(host);
        let lately = evicted.filter(|(_, last)| last.elapsed() < MEMORY);
        lately.map_or(0, |(count, _)| *count)
    }

    /// Calls these members and records which of them don't answer.
    async fn check(&mut self, watched: &[Member]) {
        let is_watched = |disk: &Disk| watched.iter().any(|member| member.disk == *disk);
        self.links.retain(|disk, _| is_watched(disk));
        self.silent.retain(|disk, _| is_watched(disk));
        let started = Instant::now();
        let calls = watched.iter().map(|member| {
            let link = self.links.entry(member.disk);
            let link = link.or_insert_with(|| Link::new(member.address)).clone();
            async move { copy::answers(&link, member.disk).await }
        });
        let calls: Vec<_> = calls.collect();
        for (member, answers) in watched.iter().zip(join_all(calls).await) {
            if answers {
                self.silent.remove(&member.disk);
                continue;
            }
            let silence = self.silent.entry(member.disk).or_insert_with(|| {
                log::info!(
                    step = "watch members", peer:% = member.host, disk:% = member.disk;
                    "member doesn't answer"
                );
                Silence {
                    since: started,
                    failures: 0,
                }
            });
            silence.failures += 1;
        }
    }

    fn is_due(&self, distance: usize, member: &Member) -> bool {
        let doublings = match member.disk.is_vacancy() {
            true => 0,
            false => self.evictions(&member.host),
        };
        let silence = SILENCE * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
        let limit = silence + WATCHER_DELAY * distance as u32;
        self.silent.get(&member.disk).is_some_and(|silent| {
            silent.failures >= FAILURE_LIMIT && silent.since.elapsed() >= limit
        })
    }
}
