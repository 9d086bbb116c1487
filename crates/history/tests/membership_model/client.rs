//! Clients that store and read turns; mirrors the product's client.

use std::rc::Rc;

use bytes::Bytes;
use coord::id::Request;
use history::membership::Membership;
use history::message::Answer;
use history::message::Call;
use history::record::Disk;
use history::record::Record;
use history::record::Turn;
use history::time::Timestamp;
use rand::RngExt;

use crate::core::Shared;
use crate::rules::Mutation;
use crate::slot::Slot;
use crate::slot::pause;

const NEVER_EXPIRES: Timestamp = Timestamp(u64::MAX / 2);

/// Effect of an answer on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Vote {
    Counted,
    Ignored,
    Decisive,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Done,
    Stale,
    Incomplete,
}

/// What a reader learns of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    Present,
    Absent,
    Unknown,
}

/// Stores a turn; returns whether it is committed.
pub async fn store(core: Shared, client: usize, id: Request) -> bool {
    let record = Record::Turn(Turn {
        id: id.clone(),
        customer: "c".parse().expect("name"),
        previous: None,
        content: Bytes::new(),
        expires: NEVER_EXPIRES,
    });
    let call = Rc::new(Call::Append(vec![record]));
    let losses = core.borrow().losses();
    let needed = |view: &Membership| view.write_quorum(losses);
    let outcome = query(
        &core,
        client,
        &call,
        losses + 1,
        needed,
        |answer| match answer {
            Answer::Appended => Vote::Counted,
            _ => Vote::Ignored,
        },
    );
    let committed = outcome.await == Outcome::Done;
    if committed {
        let mut core = core.borrow_mut();
        core.note(|| format!("client {client} commits {id}"));
        core.readers.committed.push(id);
        let turn = core.readers.committed.len() - 1;
        for at in 0..core.hosts.len() {
            let core = &mut *core;
            core.readers.observe_turn(&core.hosts[at], turn);
        }
    }
    committed
}

/// Reads a turn.
pub async fn read(core: Shared, client: usize, id: Request) -> Found {
    let call = Rc::new(Call::Chain(id));
    let losses = core.borrow().losses();
    let small = core.borrow().has(Mutation::SmallReadQuorum);
    let needed = |view: &Membership| match small {
        true => view.copy_quorum(losses),
        false => view.read_quorum(losses),
    };
    let mut present = false;
    let outcome = query(&core, client, &call, 1, needed, |answer| match answer {
        Answer::Chain { turns, .. } if !turns.is_empty() => {
            present = true;
            Vote::Decisive
        }
        Answer::Chain { complete: true, .. } => Vote::Counted,
        _ => Vote::Ignored,
    });
    match outcome.await {
        Outcome::Done if present => Found::Present,
        Outcome::Done => Found::Absent,
        Outcome::Stale | Outcome::Incomplete => Found::Unknown,
    }
}

async fn query(
    core: &Shared,
    client: usize,
    call: &Rc<Call>,
    initial: usize,
    needed: impl Fn(&Membership) -> usize,
    mut vote: impl FnMut(Answer) -> Vote,
) -> Outcome {
    loop {
        let view = core.borrow().client_views[client].clone();
        let needed = needed(&view);
        let mut counted = 0;
        let outcome = fan_out(core, client, &view, call, initial, |answer| {
            let vote = vote(answer);
            counted += usize::from(vote == Vote::Counted);
            vote == Vote::Decisive || counted >= needed
        });
        match outcome.await {
            Outcome::Stale => {}
            outcome => return outcome,
        }
    }
}

async fn fan_out(
    core: &Shared,
    client: usize,
    view: &Membership,
    call: &Rc<Call>,
    initial: usize,
    mut is_done: impl FnMut(Answer) -> bool,
) -> Outcome {
    let mut remaining: Vec<Disk> = view.members.iter().map(|member| member.disk).collect();
    let mut in_flight: Vec<Slot<Option<Answer>>> = Vec::new();
    let mut to_send = initial;
    loop {
        while to_send > 0 && !remaining.is_empty() {
            to_send -= 1;
            let mut core = core.borrow_mut();
            let which = core.random.random_range(0..remaining.len());
            let disk = remaining.swap_remove(which);
            in_flight.push(core.call(None, disk, view.epoch, Rc::clone(call)));
        }
        if in_flight.is_empty() {
            return Outcome::Incomplete;
        }
        let ready = in_flight.iter().enumerate();
        let ready = ready.filter_map(|(at, slot)| slot.take().map(|answer| (at, answer)));
        match { ready }.next() {
            None => {
                pause().await;
                let mut core = core.borrow_mut();
                let calm = core.calm;
                // Further disks are called after a delay, and the call ends at its deadline.
                to_send = usize::from(core.random.random_bool(0.2));
                if !calm && core.random.random_bool(0.001) {
                    return Outcome::Incomplete;
                }
            }
            Some((at, answer)) => {
                in_flight.swap_remove(at);
                match answer {
                    Some(Answer::Stale(newer)) => {
                        let known = &mut core.borrow_mut().client_views[client];
                        if newer.epoch > known.epoch {
                            *known = newer;
                        }
                        return Outcome::Stale;
                    }
                    None | Some(Answer::OtherDisk | Answer::Closed) => to_send = 1,
                    Some(answer) => {
                        if is_done(answer) {
                            return Outcome::Done;
                        }
                        to_send = usize::from(in_flight.is_empty());
                    }
                }
            }
        }
    }
}
