//! Restores the number of copies of records after a member is gone: records that too few of the others
//! hold are copied to more of them.

use eyre::WrapErr;
use eyre::bail;
use futures::StreamExt;
use futures::TryStreamExt;
use node::link::Link;

use crate::Map;
use crate::Set;
use crate::copy;
use crate::gather::gather;
use crate::membership::Member;
use crate::message::Answer;
use crate::message::Call;
use crate::message::Position;
use crate::record::Record;
use crate::server::Server;

/// Maximum number of pairs of members between which records are copied at a time; each holds one batch in
/// memory.
const CONCURRENT_TRANSFERS: usize = 4;

/// A member and the records that it holds.
#[derive(Debug)]
struct Holder {
    member: Member,
    /// Link to the member's host; `None` for this host.
    link: Option<Link>,
    /// Random number drawn at each process start; positions are valid for one incarnation.
    incarnation: u64,
    /// Fingerprints by position; 0 for pruned records.
    fingerprints: Vec<u64>,
    /// Whether the member accepts records and has synced those that it holds.
    accepts: bool,
}

/// Copies records from one holder to another; both are indices.
type Transfers = Map<(usize, usize), Vec<Position>>;

/// Copies each record that fewer than `copies` of `members` hold to more of them; returns the number of
/// copies made. This host is one of the members.
///
/// Errors: fewer than `needed` members hold all their records, or a record can't be copied.
pub async fn restore(
    server: &Server,
    members: Vec<Member>,
    needed: usize,
    copies: usize,
) -> eyre::Result<usize> {
    let me = server.disk();
    let (own, others): (Vec<Member>, Vec<Member>) =
        members.into_iter().partition(|member| member.disk == me);
    let others = others.into_iter().map(read_holder);
    let mut holders = gather(others, needed.saturating_sub(1)).await;
    for member in own {
        holders.push(read_own(server, member).await);
    }
    if holders.len() < needed {
        bail!(
            "{} of {needed} history hosts hold all their records",
            holders.len()
        );
    }
    let transfers = plan(&holders, copies)?;
    let count = transfers.values().map(Vec::len).sum();
    let sources: Set<usize> = transfers.keys().map(|(source, _)| *source).collect();
    futures::stream::iter(transfers)
        .map(|((source, target), positions)| {
            let (source, target) = (&holders[source], &holders[target]);
            transfer(server, source, target, positions)
        })
        .buffer_unordered(CONCURRENT_TRANSFERS)
        .try_collect::<Vec<()>>()
        .await?;
    for source in sources {
        check_incarnation(&holders[source]).await?;
    }
    Ok(count)
}

/// The records that a member holds; `None` if it is unreachable or may lack committed ones.
async fn read_holder(member: Member) -> Option<Holder> {
    match try_read_holder(&member).await {
        Ok(holder) => holder,
        Err(error) => {
            log::warn!(
                step = "restore copies", peer:% = member.host;
                "records can't be listed: {error:#}"
            );
            None
        }
    }
}

async fn try_read_holder(member: &Member) -> eyre::Result<Option<Holder>> {
    let link = Link::new(member.address);
    if !copy::is_complete(member, &link).await? {
        return Ok(None);
    }
    let mut holder = Holder {
        member: member.clone(),
        link: Some(link.clone()),
        incarnation: 0,
        fingerprints: Vec::new(),
        accepts: false,
    };
    loop {
        let from = Position(holder.fingerprints.len() as u64);
        let answer = copy::call(&link, member.disk, &Call::Digest(from)).await?;
        let Answer::Digest {
            incarnation,
            fingerprints,
            end,
            ..
        } = answer
        else {
            bail!("{} doesn't return its digest", member.host);
        };
        if from != Position::default() && incarnation != holder.incarnation {
            bail!("{} has restarted", member.host);
        }
        holder.incarnation = incarnation;
        holder.fingerprints.extend(fingerprints);
        if end {
            break;
        }
    }
    // The member may not have synced yet what its digest listed, and loses that in a power loss.
    holder.accepts = copy::append(&link, member, Vec::new()).await.is_ok();
    copy::check_incarnation(&link, member, holder.incarnation).await?;
    Ok(Some(holder))
}

async fn read_own(server: &Server, member: Member) -> Holder {
    let mut fingerprints = Vec::new();
    loop {
        let (page, _, end) = server.digest(Position(fingerprints.len() as u64));
        fingerprints.extend(page);
        if end {
            break;
        }
    }
    Holder {
        member,
        link: None,
        incarnation: 0,
        fingerprints,
        accepts: server.persist(Vec::new()).await && !server.is_closed(),
    }
}

/// The transfers after which `copies` of the holders that accept records hold each record.
///
/// Errors: too few of them accept records.
fn plan(holders: &[Holder], copies: usize) -> eyre::Result<Transfers> {
    if holders.iter().filter(|holder| holder.accepts).count() < copies {
        bail!("fewer than {copies} history hosts accept records");
    }
    // Number of holders that accept records, and the last holder, which may list a record twice.
    let mut counts: Map<u64, (u32, u32)> = Map::default();
    for (number, holder) in (1..).zip(holders) {
        for fingerprint in holder.listed() {
            let (count, last) = counts.entry(fingerprint).or_default();
            if *last != number {
                *count += u32::from(holder.accepts);
                *last = number;
            }
        }
    }
    counts.retain(|_, (count, _)| (*count as usize) < copies);
    let mut scarce: Map<u64, Vec<(usize, Position)>> = Map::default();
    for (number, holder) in holders.iter().enumerate() {
        for (position, fingerprint) in (0..).zip(&holder.fingerprints) {
            if !counts.contains_key(fingerprint) {
                continue;
            }
            let held_by = scarce.entry(*fingerprint).or_default();
            if held_by.last().is_none_or(|(last, _)| *last != number) {
                held_by.push((number, Position(position)));
            }
        }
    }
    let mut transfers = Transfers::default();
    for (fingerprint, held_by) in scarce {
        let (count, _) = counts[&fingerprint];
        // Spreads the copies over the holders.
        let start = (fingerprint % holders.len() as u64) as usize;
        let (source, position) = held_by[start % held_by.len()];
        let targets = (start..holders.len()).chain(0..start).filter(|target| {
            let holds = held_by.iter().any(|(holder, _)| holder == target);
            holders[*target].accepts && !holds
        });
        for target in targets.take(copies - count as usize) {
            transfers
                .entry((source, target))
                .or_default()
                .push(position);
        }
    }
    Ok(transfers)
}

impl Holder {
    /// Fingerprints of the records that aren't pruned.
    fn listed(&self) -> impl Iterator<Item = u64> {
        let fingerprints = self.fingerprints.iter().copied();
        fingerprints.filter(|fingerprint| *fingerprint != 0)
    }
}

/// Copies records from one holder to another. A charge may have changed since it was listed; its newer
/// state replaces the listed one.
async fn transfer(
    server: &Server,
    source: &Holder,
    target: &Holder,
    positions: Vec<Position>,
) -> eyre::Result<()> {
    let mut rest = positions.as_slice();
    let mut size = copy::BATCH_RECORDS;
    while !rest.is_empty() {
        let (batch, tail) = rest.split_at(size.min(rest.len()));
        let records = match &source.link {
            None => server.records(batch)?,
            Some(link) => match copy::fetch(&source.member, link, batch.to_vec()).await? {
                Some(records) => records,
                None => {
                    size = batch.len() / 2;
                    continue;
                }
            },
        };
        for call in copy::split(records) {
            store(server, target, call).await?;
        }
        rest = tail;
    }
    Ok(())
}

async fn store(server: &Server, target: &Holder, records: Vec<Record>) -> eyre::Result<()> {
    match &target.link {
        Some(link) => copy::append(link, &target.member, records).await,
        None if server.persist(records).await => Ok(()),
        None => bail!("write to the local disk failed"),
    }
}

/// Errors: the holder has restarted, so that it may have returned other records than it listed.
async fn check_incarnation(holder: &Holder) -> eyre::Result<()> {
    let Some(link) = &holder.link else {
        return Ok(());
    };
    copy::check_incarnation(link, &holder.member, holder.incarnation)
        .await
        .wrap_err("restored copies can't be checked")
}
