//! Copies records between hosts, one call at a time; mirrors the product's replication.

use history::Map;
use history::Set;
use history::membership::Member;
use history::membership::Membership;
use history::message::Answer;
use history::message::Call;
use history::message::Position;
use history::record::Disk;
use history::record::Record;

use crate::disk::completeness_probe;
use crate::host::Failed;
use crate::host::Process;
use crate::host::gather;
use crate::rules::Mutation;

/// Copies records from other hosts; repeated runs skip records that were copied before.
#[derive(Debug)]
pub struct Copier {
    /// Incarnation of a source and the position up to which it was copied.
    cursors: Map<Disk, (u64, Position)>,
    /// Fingerprints of the records on this disk.
    local: Set<u64>,
}

impl Copier {
    pub fn new(process: &Process) -> Copier {
        Copier {
            cursors: Map::default(),
            local: process.core.borrow().hosts[process.at].index.fingerprints(),
        }
    }

    /// Copies the reachable ones of `members`; fails if fewer than `needed` of them were copied.
    pub async fn copy_from_quorum(
        &mut self,
        process: &Process,
        members: &[Member],
        needed: usize,
    ) -> Result<(), Failed> {
        let probes: Vec<_> = members
            .iter()
            .map(|member| (member.disk, process.call(member.disk, probe())))
            .collect();
        let reached = gather(process, probes, needed, is_digest).await;
        let mut copied = 0;
        for (disk, _) in reached {
            if let Ok(complete) = self.copy_from(process, disk).await {
                copied += usize::from(complete);
            }
        }
        match copied < needed {
            true => Err(Failed),
            false => Ok(()),
        }
    }

    /// Copies a member's new records; returns whether the member held all that it should before.
    async fn copy_from(&mut self, process: &Process, disk: Disk) -> Result<bool, Failed> {
        let joiners_count = process.core.borrow().has(Mutation::JoinersAreSources);
        let complete = match process.call(disk, completeness_probe()).await {
            Some(Answer::Account { complete, .. }) => complete || joiners_count,
            _ => return Err(Failed),
        };
        let mut cursor = self.cursors.get(&disk).copied();
        loop {
            let from = cursor.map_or(Position::default(), |(_, next)| next);
            let answer = process.call(disk, Call::Digest(from)).await;
            let Some(Answer::Digest {
                incarnation,
                fingerprints,
                next,
                end,
            }) = answer
            else {
                return Err(Failed);
            };
            if cursor.is_some_and(|(copied, _)| copied != incarnation) {
                cursor = None;
                continue;
            }
            let missing: Vec<(Position, u64)> = fingerprints
                .iter()
                .enumerate()
                .filter(|(_, fingerprint)| !self.local.contains(fingerprint))
                .map(|(offset, fingerprint)| (Position(from.0 + offset as u64), *fingerprint))
                .collect();
            if !missing.is_empty() {
                let positions = missing.iter().map(|(position, _)| *position).collect();
                match process.call(disk, Call::Fetch(positions)).await {
                    Some(Answer::Records(records)) => process.persist(records).await,
                    _ => return Err(Failed),
                }
            }
            let fingerprints = missing.into_iter().map(|(_, fingerprint)| fingerprint);
            self.local.extend(fingerprints);
            cursor = Some((incarnation, next));
            if end {
                self.cursors.insert(disk, (incarnation, next));
                return Ok(complete);
            }
        }
    }
}

/// Sends a member all records that it lacks.
pub async fn push_missing(process: &Process, disk: Disk) -> Result<(), Failed> {
    let (remote, listing): (Set<u64>, u64) =
        match process.call(disk, Call::Digest(Position::default())).await {
            Some(Answer::Digest {
                fingerprints,
                incarnation,
                ..
            }) => (fingerprints.into_iter().collect(), incarnation),
            _ => return Err(Failed),
        };
    // The last call is answered once all that the digest listed is synced.
    for records in [missing_records(process, &remote), Vec::new()] {
        match process.call(disk, Call::Append(records)).await {
            Some(Answer::Appended) => {}
            _ => return Err(Failed),
        }
    }
    check_incarnation(process, disk, listing).await
}

/// Fails if a member has restarted, so that it may hold other records than it listed.
pub async fn check_incarnation(process: &Process, disk: Disk, expected: u64) -> Result<(), Failed> {
    match process.call(disk, probe()).await {
        Some(Answer::Digest { incarnation, .. }) if incarnation == expected => Ok(()),
        _ => Err(Failed),
    }
}

/// Records on this host's disk that aren't among these.
fn missing_records(process: &Process, remote: &Set<u64>) -> Vec<Record> {
    let core = process.core.borrow();
    let index = &core.hosts[process.at].index;
    let (fingerprints, _, end) = index.digest(Position::default());
    assert!(end, "a run has few records");
    let missing = fingerprints.iter().enumerate();
    let missing = missing.filter(|(_, fingerprint)| !remote.contains(fingerprint));
    let records = missing.filter_map(|(offset, _)| index.record_at(Position(offset as u64)));
    records.collect()
}

/// Members that don't answer.
pub async fn unreachable(process: &Process, membership: &Membership) -> Vec<Disk> {
    let me = process.me().disk;
    let others = membership.members.iter().map(|member| member.disk);
    let others: Vec<Disk> = others.filter(|disk| *disk != me).collect();
    let probes: Vec<_> = others
        .iter()
        .map(|disk| (*disk, process.call(*disk, probe())))
        .collect();
    let reached = gather(process, probes, usize::MAX, is_digest).await;
    let reached: Set<Disk> = reached.into_iter().map(|(disk, _)| disk).collect();
    let unreachable = others.into_iter().filter(|disk| !reached.contains(disk));
    unreachable.collect()
}

pub fn probe() -> Call {
    Call::Digest(Position(u64::MAX))
}

pub fn is_digest(answer: &Answer) -> bool {
    matches!(answer, Answer::Digest { .. })
}
