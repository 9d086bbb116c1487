//! Copies records between history hosts, each record once.
//!
//! A host shows the fingerprints of its records; only those that the other side lacks are sent.

use std::time::Duration;

use bytes::Bytes;
use eyre::bail;
use eyre::eyre;
use futures::future::join_all;
use node::link::Link;

use crate::Map;
use crate::Set;
use crate::membership::Epoch;
use crate::membership::Member;
use crate::membership::Membership;
use crate::message;
use crate::message::Answer;
use crate::message::Call;
use crate::message::Head;
use crate::message::Position;
use crate::record::Disk;
use crate::server::Server;

/// Time for a host's answer to a call; a page of records takes some 100 ms of a small host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Times that a host is asked before a call to it fails.
const TRIES: usize = 6;

/// Times that a host is asked before it counts as unreachable: a disk must take a lost one's place
/// within a few seconds, and one that is taken for lost by mistake joins again.
const REACH_TRIES: usize = 3;

/// Pause between tries: hosts that start together need no more than this to listen.
const PAUSE: Duration = Duration::from_millis(100);

/// Records sent together; some hundred kilobytes.
const BATCH: usize = 500;

/// How far a host's records were copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Progress {
    incarnation: u64,
    next: Position,
}

/// Copies from other hosts, again and again without what was copied before.
#[derive(Debug, Default)]
pub struct Copier {
    progress: Map<Disk, Progress>,
    known: Set<u64>,
}

impl Copier {
    /// A copier into a server.
    pub fn new(server: &Server) -> Copier {
        Copier {
            progress: Map::default(),
            known: server.fingerprints(),
        }
    }

    /// Copies what is new from the members; returns from how many all was copied. Once `needed`
    /// have shown all that they hold, those that can't be reached are passed over.
    pub async fn copy(&mut self, server: &Server, others: &Membership, needed: usize) -> usize {
        let reached = join_all(others.members.iter().map(reach)).await;
        let mut copied = 0;
        for (member, link) in others.members.iter().zip(reached) {
            let Some(link) = link else {
                log::info!(step = "copy", peer:% = member.host; "host isn't reached");
                continue;
            };
            match self.copy_from(server, member, &link).await {
                Ok(records) => {
                    copied += 1;
                    log::info!(
                        step = "copy", peer:% = member.host, records = records,
                        copied = copied, needed = needed;
                        "records are copied"
                    );
                }
                Err(error) => log::warn!(step = "copy", peer:% = member.host; "{error:#}"),
            }
        }
        copied
    }

    async fn copy_from(
        &mut self,
        server: &Server,
        member: &Member,
        link: &Link,
    ) -> eyre::Result<usize> {
        let mut progress = self.progress.get(&member.disk).copied();
        let mut count = 0;
        loop {
            let from = progress.map_or(Position::default(), |progress| progress.next);
            let Answer::Digest {
                incarnation,
                fingerprints,
                next,
                end,
            } = call(link, member.disk, &Call::Digest(from)).await?
            else {
                bail!("{} doesn't show its records", member.host);
            };
            if progress.is_some_and(|progress| progress.incarnation != incarnation) {
                progress = None;
                continue;
            }
            let missing: Vec<(Position, u64)> = fingerprints
                .iter()
                .enumerate()
                .filter(|(_, name)| **name != 0 && !self.known.contains(name))
                .map(|(place, name)| (Position(from.0 + place as u64), *name))
                .collect();
            count += missing.len();
            for batch in missing.chunks(BATCH) {
                let positions = batch.iter().map(|(position, _)| *position).collect();
                fetch(server, member, link, positions).await?;
                self.known.extend(batch.iter().map(|(_, name)| *name));
            }
            progress = Some(Progress { incarnation, next });
            if end {
                let reached = Progress { incarnation, next };
                self.progress.insert(member.disk, reached);
                return Ok(count);
            }
        }
    }
}

async fn fetch(
    server: &Server,
    member: &Member,
    link: &Link,
    positions: Vec<Position>,
) -> eyre::Result<()> {
    match call(link, member.disk, &Call::Fetch(positions)).await? {
        Answer::Records(records) => match server.keep(records).await {
            true => Ok(()),
            false => bail!("own disk fails"),
        },
        answer => bail!("{} answers {answer:?}", member.host),
    }
}

/// Gives a member all records that it lacks.
///
/// Errors: it isn't reached, or refuses them.
pub async fn give(server: &Server, member: &Member) -> eyre::Result<()> {
    let link = Link::new(member.address);
    let theirs = digest(&link, member).await?;
    let mut from = Position::default();
    loop {
        let (fingerprints, next, end) = server.digest(from);
        let missing: Vec<Position> = fingerprints
            .iter()
            .enumerate()
            .filter(|(_, name)| **name != 0 && !theirs.contains(name))
            .map(|(place, _)| Position(from.0 + place as u64))
            .collect();
        for batch in missing.chunks(BATCH) {
            let records = server.records(batch);
            match call(&link, member.disk, &Call::Append(records)).await? {
                Answer::Appended => {}
                answer => bail!("{} answers {answer:?}", member.host),
            }
        }
        if end {
            return Ok(());
        }
        from = next;
    }
}

async fn digest(link: &Link, member: &Member) -> eyre::Result<Set<u64>> {
    let mut known = Set::default();
    let mut from = Position::default();
    loop {
        match call(link, member.disk, &Call::Digest(from)).await? {
            Answer::Digest {
                fingerprints,
                next,
                end,
                ..
            } => {
                known.extend(fingerprints);
                from = next;
                if end {
                    return Ok(known);
                }
            }
            answer => bail!("{} answers {answer:?}", member.host),
        }
    }
}

/// A link to a member that answers and still holds its disk.
async fn reach(member: &Member) -> Option<Link> {
    let link = Link::new(member.address);
    let question = Call::Digest(Position(u64::MAX));
    match call_times(&link, member.disk, &question, REACH_TRIES).await {
        Ok(Answer::Digest { .. }) => Some(link),
        _ => None,
    }
}

/// Members that don't answer, or hold another disk by now.
pub async fn unreachable(membership: &Membership, me: Disk) -> Vec<Disk> {
    let others: Vec<&Member> = membership
        .members
        .iter()
        .filter(|other| other.disk != me)
        .collect();
    let reached = join_all(others.iter().map(|member| reach(member))).await;
    let silent = others
        .iter()
        .zip(reached)
        .filter(|(_, link)| link.is_none());
    silent.map(|(member, _)| member.disk).collect()
}

/// Calls a host a few times.
///
/// Errors: it doesn't answer.
pub async fn call(link: &Link, disk: Disk, call: &Call) -> eyre::Result<Answer> {
    call_times(link, disk, call, TRIES).await
}

async fn call_times(link: &Link, disk: Disk, call: &Call, tries: usize) -> eyre::Result<Answer> {
    let head = Head {
        disk,
        epoch: Epoch(u64::MAX),
    };
    let frame: Bytes = message::frame(head, &message::encode(call));
    let mut last = None;
    for _ in 0..tries {
        match link.call(frame.clone(), ANSWER_TIMEOUT).await {
            Ok(answer) => return Ok(message::read_answer(&answer)?),
            Err(error) => last = Some(error),
        }
        tokio::time::sleep(PAUSE).await;
    }
    let error = last.map_or_else(|| eyre!("never asked"), eyre::Report::from);
    Err(error.wrap_err(format!("calling {}", link.address())))
}
