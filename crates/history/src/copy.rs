//! Replication of records between history hosts.
//!
//! A host returns the fingerprints of its records, so that only the records that the other host
//! lacks are sent.

use std::time::Duration;

use bytes::Bytes;
use eyre::bail;
use eyre::eyre;
use futures::future::join_all;
use node::link::Link;

use crate::Map;
use crate::Set;
use crate::fingerprint;
use crate::gather::gather;
use crate::membership::Epoch;
use crate::membership::Member;
use crate::membership::Membership;
use crate::message;
use crate::message::Answer;
use crate::message::Call;
use crate::message::Header;
use crate::message::Position;
use crate::record::Account;
use crate::record::Disk;
use crate::record::Record;
use crate::server::Server;

/// Timeout for a host's answer to a call; a small host needs some 100 ms for a page of records.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Number of attempts before a call to a host fails.
const CALL_ATTEMPTS: usize = 6;

/// Number of attempts before a host counts as unreachable. A lost disk must be replaced within a few
/// seconds, and a disk that was replaced by mistake joins again.
const CONNECT_ATTEMPTS: usize = 3;

/// Delay between attempts; hosts that start together listen within this time.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of records sent in one call.
pub const BATCH_RECORDS: usize = 500;

/// Number of records fetched in the first call, before their sizes are known.
const FIRST_BATCH_RECORDS: usize = 32;

/// Size of the contents sent in one call, in bytes, unless a single record exceeds it. A call that
/// exceeds what the link carries never succeeds, and small hosts have 130 MB for everything.
const BATCH_BYTES: usize = 1024 * 1024;

/// Number of attempts before a batch that failed is halved.
const BATCH_ATTEMPTS: usize = 2;

/// Position up to which a host's records were copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cursor {
    incarnation: u64,
    next: Position,
}

/// Copies records from other hosts; repeated runs skip records that were copied before.
#[derive(Debug, Default)]
pub struct Copier {
    cursors: Map<Disk, Cursor>,
    /// Fingerprints of the records on this disk.
    local: Set<u64>,
}

impl Copier {
    /// A copier that stores records in `server`.
    pub fn new(server: &Server) -> Copier {
        Copier {
            cursors: Map::default(),
            local: server.fingerprints(),
        }
    }

    /// Copies new records from the reachable ones of `members`; returns the number of members that
    /// were copied completely and held all records that they should. `needed` is the number after
    /// which unreachable members aren't waited for.
    pub async fn copy(&mut self, server: &Server, members: &[Member], needed: usize) -> usize {
        let links = members.iter().cloned().map(|member| async move {
            let link = connect(&member).await;
            Some((link?, member))
        });
        let links = gather(links, needed).await;
        let mut copied = 0;
        for (link, member) in links {
            match self.copy_from(server, &member, &link).await {
                Ok((records, complete)) => {
                    copied += usize::from(complete);
                    log::info!(
                        step = "copy", peer:% = member.host, disk:% = member.disk,
                        records = records, complete = complete, copied = copied, needed = needed;
                        "records copied"
                    );
                }
                Err(error) => log::warn!(
                    step = "copy", peer:% = member.host;
                    "records can't be copied: {error:#}"
                ),
            }
        }
        copied
    }

    /// Copies a member's new records; returns their number and whether the member held all records
    /// that it should before.
    async fn copy_from(
        &mut self,
        server: &Server,
        member: &Member,
        link: &Link,
    ) -> eyre::Result<(usize, bool)> {
        let complete = is_complete(member, link).await?;
        let mut cursor = self.cursors.get(&member.disk).copied();
        let mut count = 0;
        let mut size = FIRST_BATCH_RECORDS;
        loop {
            let from = cursor.map_or(Position::default(), |cursor| cursor.next);
            let Answer::Digest {
                incarnation,
                fingerprints,
                next,
                end,
            } = call(link, member.disk, &Call::Digest(from)).await?
            else {
                bail!("{} doesn't return its digest", member.host);
            };
            if cursor.is_some_and(|cursor| cursor.incarnation != incarnation) {
                cursor = None;
                continue;
            }
            let missing: Vec<(Position, u64)> = fingerprints
                .iter()
                .enumerate()
                .filter(|(_, fingerprint)| **fingerprint != 0 && !self.local.contains(fingerprint))
                .map(|(offset, fingerprint)| (Position(from.0 + offset as u64), *fingerprint))
                .collect();
            count += missing.len();
            let mut rest = missing.as_slice();
            while !rest.is_empty() {
                let (batch, tail) = rest.split_at(size.min(rest.len()));
                let positions = batch.iter().map(|(position, _)| *position).collect();
                let Some(records) = fetch(member, link, positions).await? else {
                    size = batch.len() / 2;
                    continue;
                };
                // Records that have expired there meanwhile may still be retained elsewhere.
                match records.len() == batch.len() {
                    true => self.local.extend(batch.iter().map(|(_, found)| *found)),
                    false => {
                        let fetched = records.iter().filter_map(fingerprint::of_record);
                        self.local.extend(fetched);
                    }
                }
                let bytes: usize = records.iter().map(content_bytes).sum();
                if !server.persist(records).await {
                    bail!("write to the local disk failed");
                }
                rest = tail;
                size = match bytes {
                    bytes if bytes > BATCH_BYTES => (size / 2).max(1),
                    bytes if bytes <= BATCH_BYTES / 2 => (size * 2).min(BATCH_RECORDS),
                    _ => size,
                };
            }
            cursor = Some(Cursor { incarnation, next });
            if end {
                let last = Cursor { incarnation, next };
                self.cursors.insert(member.disk, last);
                return Ok((count, complete));
            }
        }
    }
}

/// Whether a member has copied what the disk that it replaced held.
///
/// Errors: the member is unreachable.
pub async fn is_complete(member: &Member, link: &Link) -> eyre::Result<bool> {
    let probe = Call::ReadAccount(Account::probe());
    match call(link, member.disk, &probe).await? {
        Answer::Account { complete, .. } => Ok(complete),
        answer => bail!("unexpected answer from {}: {answer:?}", member.host),
    }
}

/// The records at these positions, as far as the member has them; `None` if the member answers other
/// calls but not this one, so that the records probably exceed one answer.
pub async fn fetch(
    member: &Member,
    link: &Link,
    positions: Vec<Position>,
) -> eyre::Result<Option<Vec<Record>>> {
    let is_divisible = positions.len() > 1;
    let attempts = match is_divisible {
        true => BATCH_ATTEMPTS,
        false => CALL_ATTEMPTS,
    };
    let fetch = Call::Fetch(positions);
    let answer = match call_with_attempts(link, member.disk, &fetch, attempts).await {
        Ok(answer) => answer,
        Err(_) if is_divisible && connect(member).await.is_some() => return Ok(None),
        Err(error) => return Err(error),
    };
    match answer {
        Answer::Records(records) => Ok(Some(records)),
        answer => bail!("unexpected answer from {}: {answer:?}", member.host),
    }
}

/// Sends a member all records that it lacks.
///
/// Errors: the member is unreachable or rejects the records.
pub async fn push_missing(server: &Server, member: &Member) -> eyre::Result<()> {
    let link = Link::new(member.address);
    let (remote, incarnation) = remote_fingerprints(&link, member).await?;
    let mut from = Position::default();
    loop {
        let (fingerprints, next, end) = server.digest(from);
        let missing: Vec<Position> = fingerprints
            .iter()
            .enumerate()
            .filter(|(_, fingerprint)| **fingerprint != 0 && !remote.contains(fingerprint))
            .map(|(offset, _)| Position(from.0 + offset as u64))
            .collect();
        for batch in missing.chunks(BATCH_RECORDS) {
            for records in split(server.records(batch)?) {
                append(&link, member, records).await?;
            }
        }
        if end {
            // The member may not have synced yet what its digest listed, and loses that in a power loss.
            append(&link, member, Vec::new()).await?;
            return check_incarnation(&link, member, incarnation).await;
        }
        from = next;
    }
}

/// Errors: the member is unreachable or has restarted, so that it may hold other records than it listed.
pub async fn check_incarnation(link: &Link, member: &Member, expected: u64) -> eyre::Result<()> {
    match call(link, member.disk, &Call::Digest(Position(u64::MAX))).await? {
        Answer::Digest { incarnation, .. } if incarnation == expected => Ok(()),
        _ => bail!("{} has restarted", member.host),
    }
}

/// Stores records at a member; returns once it has synced them and all that it received before.
///
/// Errors: the member is unreachable or rejects the records.
pub async fn append(link: &Link, member: &Member, records: Vec<Record>) -> eyre::Result<()> {
    match call(link, member.disk, &Call::Append(records)).await? {
        Answer::Appended => Ok(()),
        answer => bail!("unexpected answer from {}: {answer:?}", member.host),
    }
}

/// Splits records into calls of [`BATCH_BYTES`] at most, or one record each.
pub fn split(records: Vec<Record>) -> Vec<Vec<Record>> {
    let mut calls = Vec::new();
    let (mut call, mut bytes) = (Vec::new(), 0);
    for record in records {
        let size = content_bytes(&record);
        if bytes + size > BATCH_BYTES && !call.is_empty() {
            calls.push(std::mem::take(&mut call));
            bytes = 0;
        }
        bytes += size;
        call.push(record);
    }
    calls.push(call);
    calls
}

/// Size of the content of a turn; other records are small.
fn content_bytes(record: &Record) -> usize {
    match record {
        Record::Turn(turn) => turn.content.len(),
        _ => 0,
    }
}

/// The fingerprints of all records that a member lists, and the incarnation that lists them.
///
/// Errors: the member is unreachable or restarts meanwhile.
async fn remote_fingerprints(link: &Link, member: &Member) -> eyre::Result<(Set<u64>, u64)> {
    let mut all = Set::default();
    let mut from = Position::default();
    let mut first = None;
    loop {
        match call(link, member.disk, &Call::Digest(from)).await? {
            Answer::Digest {
                incarnation,
                fingerprints,
                next,
                end,
            } => {
                if *first.get_or_insert(incarnation) != incarnation {
                    bail!("{} has restarted", member.host);
                }
                all.extend(fingerprints);
                from = next;
                if end {
                    return Ok((all, incarnation));
                }
            }
            answer => bail!("unexpected answer from {}: {answer:?}", member.host),
        }
    }
}

/// A link to the member's host, if the host answers and still serves the member's disk.
pub async fn connect(member: &Member) -> Option<Link> {
    let link = Link::new(member.address);
    let probe = Call::Digest(Position(u64::MAX));
    match call_with_attempts(&link, member.disk, &probe, CONNECT_ATTEMPTS).await {
        Ok(Answer::Digest { .. }) => Some(link),
        _ => None,
    }
}

/// Whether a member's host answers one call and still serves the member's disk.
pub async fn answers(link: &Link, disk: Disk) -> bool {
    let probe = Call::Digest(Position(u64::MAX));
    let answer = call_with_attempts(link, disk, &probe, 1).await;
    matches!(answer, Ok(Answer::Digest { .. }))
}

/// Members other than `me` whose host doesn't answer or serves a different disk.
pub async fn unreachable(membership: &Membership, me: Disk) -> Vec<Disk> {
    let others: Vec<&Member> = membership
        .members
        .iter()
        .filter(|other| other.disk != me)
        .collect();
    let links = join_all(others.iter().map(|member| connect(member))).await;
    let unreachable = others.iter().zip(links).filter(|(_, link)| link.is_none());
    unreachable.map(|(member, _)| member.disk).collect()
}

/// Calls a host, with a fixed number of attempts.
///
/// Errors: the host doesn't answer, or its answer is invalid.
pub async fn call(link: &Link, disk: Disk, call: &Call) -> eyre::Result<Answer> {
    call_with_attempts(link, disk, call, CALL_ATTEMPTS).await
}

async fn call_with_attempts(
    link: &Link,
    disk: Disk,
    call: &Call,
    attempts: usize,
) -> eyre::Result<Answer> {
    let header = Header {
        disk,
        epoch: Epoch(u64::MAX),
    };
    let frame: Bytes = message::frame(header, &message::encode(call));
    let mut last_error = None;
    for _ in 0..attempts {
        match link.call(frame.clone(), ANSWER_TIMEOUT).await {
            Ok(answer) => return Ok(message::read_answer(&answer)?),
            Err(error) => last_error = Some(error),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let error = last_error.map_or_else(|| eyre!("no attempt was made"), eyre::Report::from);
    Err(error.wrap_err(format!("call to {} failed", link.address())))
}
