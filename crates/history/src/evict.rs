//! Evicts members that are gone, so that the tolerated losses are available again;
//! [`crate::membership`] explains the required steps.
//!
//! A member that is only out of reach may be evicted by mistake. It takes its place back from the vacancy, or
//! joins again as an added one.

use std::time::Duration;

use eyre::bail;
use node::link::Link;
use node::object::ObjectStore;
use tokio::time::Instant;

use crate::copy;
use crate::gather::gather;
use crate::join;
use crate::join::Config;
use crate::membership::Member;
use crate::membership::Membership;
use crate::record::Disk;
use crate::record::Record;
use crate::restore;
use crate::server::Server;
use crate::watch::Watch;

/// Mean delay before the first failed attempt is repeated; doubles with each attempt.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum of that delay; short, as the time for an eviction begins with the return of the object store.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1200);

/// Evicts members that are gone, as long as it is polled.
pub async fn keep_evicting<S: ObjectStore>(server: &Server, objects: &S, config: &Config) {
    let mut watch = Watch::default();
    loop {
        let losses = config.tolerated_losses;
        let gone = watch.next_silent(server, config.me.disk, losses).await;
        let mut eviction = Eviction {
            server,
            objects,
            config,
            disk: gone.disk,
            vacated: false,
        };
        tokio::select! {
            () = eviction.run(&gone) => {}
            () = watch.keep_observing(server, config.me.disk, losses) => {}
        }
        if eviction.vacated {
            watch.record_eviction(&gone.host);
        }
    }
}

/// Eviction of one member, repeated until it succeeds.
struct Eviction<'a, S> {
    server: &'a Server,
    objects: &'a S,
    config: &'a Config,
    /// Disk of the member that is gone, or a vacancy that another host has put in its place.
    disk: Disk,
    /// Whether the vacancy has taken the member's place.
    vacated: bool,
}

impl<S: ObjectStore> Eviction<'_, S> {
    /// Attempts the eviction until it succeeds, the member answers, or another host has changed its place.
    async fn run(&mut self, gone: &Member) {
        let started = Instant::now();
        let mut delay = RETRY_DELAY;
        loop {
            match self.attempt().await {
                Ok(()) => return,
                Err(error) => log::warn!(
                    step = "evict member", peer:% = gone.host, disk:% = gone.disk,
                    since_ms = started.elapsed().as_millis() as u64;
                    "member isn't evicted yet: {error:#}"
                ),
            }
            tokio::time::sleep(join::jittered(delay)).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
            if self.is_back(gone).await {
                return;
            }
        }
    }

    /// Whether the member answers again. Nobody answers for a vacancy.
    async fn is_back(&self, gone: &Member) -> bool {
        if self.vacated || gone.disk.is_vacancy() {
            return false;
        }
        copy::answers(&Link::new(gone.address), gone.disk).await
    }

    /// Does all steps once; nothing is left to do if the member has been replaced or evicted meanwhile, or
    /// answers again.
    ///
    /// Errors: too few members answer, the membership was changed meanwhile, or the object store can't be
    /// reached.
    async fn attempt(&mut self) -> eyre::Result<()> {
        let (me, losses) = (self.config.me.disk, self.config.tolerated_losses);
        let (current, revision) = join::read_membership(self.objects).await?;
        // An update that isn't answered may have added the vacancy.
        let found = current.find(self.disk.vacancy());
        let found = found.or_else(|| current.find(self.disk));
        let Some(gone) = found.cloned() else {
            return Ok(());
        };
        if current.find(me).is_none() || !current.has_spare(losses) {
            return Ok(());
        }
        let needed = current.copy_quorum(losses);
        let complete = complete_members(current.without(me).members, needed - 1).await;
        if complete.contains(&gone.disk) {
            return Ok(());
        }
        if complete.len() + 1 < needed {
            let count = complete.len() + 1;
            bail!("{count} of {needed} history hosts answer and hold all their records");
        }
        if gone.disk.is_vacancy() {
            return self.remove_vacancy(gone.disk).await;
        }
        let next = current.with_vacancy(gone.disk);
        join::write_membership(self.objects, &next, revision).await?;
        self.vacated = true;
        log::info!(
            step = "evict member", peer:% = gone.host, disk:% = gone.disk, epoch:% = next.epoch;
            "member is gone, a vacancy takes its place"
        );
        self.remove_vacancy(gone.disk.vacancy()).await
    }

    /// Copies the records that the member may have held, then removes the vacancy.
    async fn remove_vacancy(&self, disk: Disk) -> eyre::Result<()> {
        let started = Instant::now();
        let (me, losses) = (self.config.me.disk, self.config.tolerated_losses);
        let (current, revision) = join::read_membership(self.objects).await?;
        let Some(vacancy) = current.find(disk) else {
            return Ok(());
        };
        self.learn(&current).await?;
        let needed = current.copy_quorum(losses);
        let informed = join::announce(&current, me, needed - 1).await;
        let members = current.members.iter();
        let informed: Vec<Member> = members
            .filter(|member| member.disk == me || informed.contains(&member.disk))
            .cloned()
            .collect();
        if informed.len() < needed {
            bail!(
                "{} of {needed} history hosts received the membership",
                informed.len()
            );
        }
        let copies = current.write_quorum(losses);
        let restored = restore::restore(self.server, informed, needed, copies).await?;
        let next = current.without(disk);
        join::write_membership(self.objects, &next, revision).await?;
        log::info!(
            step = "evict member", peer:% = vacancy.host, epoch:% = next.epoch,
            restored = restored, took_ms = started.elapsed().as_millis() as u64;
            "member is evicted"
        );
        self.learn(&next).await?;
        join::announce(&next, me, next.members.len() - 1).await;
        Ok(())
    }

    async fn learn(&self, membership: &Membership) -> eyre::Result<()> {
        let record = Record::Membership(membership.clone());
        match self.server.persist(vec![record]).await {
            true => Ok(()),
            false => bail!("write to the local disk failed"),
        }
    }
}

/// Disks of those members that answer and hold all their records; others aren't waited for once `needed`
/// have answered. Members that still join can't replace what the evicted one held.
async fn complete_members(members: Vec<Member>, needed: usize) -> Vec<Disk> {
    let calls = members.into_iter().map(|member| async move {
        let link = copy::connect(&member).await?;
        let complete = copy::is_complete(&member, &link).await;
        matches!(complete, Ok(true)).then_some(member.disk)
    });
    gather(calls, needed).await
}
