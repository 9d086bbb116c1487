//! Keeps a host's place in the membership: a host that was out of reach may have been replaced or evicted,
//! and isn't told, as the new membership is sent to its members only. Members that were out of reach at a
//! change are told of it later. Meanwhile evicts other members that are gone.

use std::pin::pin;
use std::time::Duration;

use node::link::Link;
use node::object::ObjectStore;

use crate::copy;
use crate::evict;
use crate::join;
use crate::join::Config;
use crate::membership::Epoch;
use crate::membership::Member;
use crate::membership::Membership;
use crate::message;
use crate::message::Answer;
use crate::message::Call;
use crate::message::Header;
use crate::record::Account;
use crate::record::Record;
use crate::server::Server;

/// Mean delay between calls that compare the membership with that of one other member.
const CHECK_DELAY: Duration = Duration::from_millis(3000);

/// Number of such calls for each time that the object is read. Its calls are priced, but the members that
/// a host knows may have been replaced as well, or may be none if it was the first one.
const CHECKS_PER_READ: usize = 20;

/// Timeout of such a call.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Makes this disk a member, and again each time that another disk has replaced it, until `end`
/// completes. Joining isn't interrupted: its update of the membership might take effect later.
pub async fn keep<S: ObjectStore>(
    server: &Server,
    objects: &S,
    config: &Config,
    end: impl Future<Output = ()>,
) {
    let mut end = pin!(end);
    loop {
        join::join(server, objects, config).await;
        tokio::select! {
            () = &mut end => return,
            () = lost(server, objects, config) => {}
            () = evict::keep_evicting(server, objects, config) => {}
        }
    }
}

/// Returns once this disk isn't a member of the newest membership that the object store or another member
/// knows.
async fn lost<S: ObjectStore>(server: &Server, objects: &S, config: &Config) {
    let me = config.me.disk;
    let first: usize = rand::random_range(0..CHECKS_PER_READ);
    for check in 1_usize.. {
        tokio::time::sleep(join::jittered(CHECK_DELAY)).await;
        let known = server.membership();
        let reads_object = check.is_multiple_of(CHECKS_PER_READ);
        let newest = match known.find(me) {
            None => known,
            Some(_) if reads_object => match join::read_membership(objects).await {
                Ok((newer, _)) if newer.epoch > known.epoch => newer,
                Ok(_) | Err(_) => continue,
            },
            Some(_) => match compare(&known, config, first + check).await {
                None => continue,
                Some(newer) => newer,
            },
        };
        if newest.find(me).is_none() {
            log::warn!(
                step = "keep place", peer = "history", epoch:% = newest.epoch;
                "this disk was replaced or evicted, and joins again"
            );
            return;
        }
        if !server.persist(vec![Record::Membership(newest)]).await {
            log::warn!(step = "keep place", peer = "disk"; "write to the local disk failed");
        }
    }
}

/// A newer membership than `known` from one of its other members, which are asked in turn; `None` if that
/// member doesn't answer or knows no newer one. A member that knows an older one receives `known`: it may
/// know no other member that it could ask.
async fn compare(known: &Membership, config: &Config, turn: usize) -> Option<Membership> {
    let others = known.members.iter();
    let others: Vec<&Member> = others
        .filter(|other| other.disk != config.me.disk)
        .collect();
    let other = others.get(turn.checked_rem(others.len())?)?;
    let link = Link::new(other.address);
    match newest(&link, other, known.epoch).await? {
        Newest::Newer(newer) => Some(newer),
        Newest::Same => None,
        Newest::Older => {
            let inform = Call::Inform(known.clone());
            if let Err(error) = copy::call(&link, other.disk, &inform).await {
                log::debug!(
                    step = "keep place", peer:% = other.host;
                    "membership isn't received: {error:#}"
                );
            }
            None
        }
    }
}

/// The membership that a member knows, compared with another one.
enum Newest {
    Newer(Membership),
    Same,
    Older,
}

/// Compares the membership that a member knows with the one at `epoch`; `None` if it doesn't answer.
async fn newest(link: &Link, member: &Member, epoch: Epoch) -> Option<Newest> {
    // The member refuses a call at the epoch before, unless its membership is that old.
    let header = Header {
        disk: member.disk,
        epoch: Epoch(epoch.0.saturating_sub(1)),
    };
    let probe = message::encode(&Call::ReadAccount(Account::probe()));
    let answer = link.call(message::frame(header, &probe), ANSWER_TIMEOUT);
    match message::read_answer(&answer.await.ok()?).ok()? {
        Answer::Stale(newer) if newer.epoch > epoch => Some(Newest::Newer(newer)),
        Answer::Stale(_) => Some(Newest::Same),
        Answer::Account { .. } => Some(Newest::Older),
        _ => None,
    }
}
