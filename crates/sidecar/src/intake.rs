//! Reads what an entry sends: whose it is, what it asks, and what it is expected to cost.

use bytes::Bytes;
use coord::id::Attempt;
use coord::id::Epoch;
use coord::id::Shard;
use coord::id::Tokens;
use coord::refusal::Code;
use coord::time::Millis;
use wire::Ran;
use wire::Refusal;
use wire::Start;
use wire::start::Work;

use crate::generate;
use crate::ledger::Authority;
use crate::ledger::Denied;
use crate::meter;
use crate::plain;
use crate::plain::ServiceRequest;
use crate::refusal;
use crate::state::State;

/// When to come back to a target that has too much to do.
pub const OVERLOAD_DELAY: Millis = Millis(500);

/// What the target will be asked.
#[derive(Debug)]
pub enum Request {
    Generate(Bytes),
    Plain(ServiceRequest),
}

/// Reads the ownership under which a message was sent.
///
/// Errors: no such shard.
pub fn parse_authority(shard: u32, epoch: u64) -> Result<Authority, Refusal> {
    let shard = u16::try_from(shard);
    let shard = shard.map_err(|_| refusal::new(Code::BadRequest, Ran::No, "no such shard"))?;
    Ok(Authority {
        shard: Shard(shard),
        epoch: Epoch(epoch),
    })
}

/// Reads what the target will be asked.
///
/// Errors: malformed, of another kind, or with a caller's key in it.
pub fn parse_request(
    state: &State,
    attempt: &Attempt,
    start: &mut Start,
) -> Result<Request, Refusal> {
    let refuse = |message: &str| refusal::new(Code::BadRequest, Ran::No, message);
    match start.work.take() {
        Some(Work::Generate(work)) if state.is_engine() => {
            let body = generate::request_body(&work, attempt, &start.program);
            Ok(Request::Generate(body.map_err(refuse)?))
        }
        Some(Work::Plain(work)) if !state.is_engine() => {
            let request = plain::parse_request(&work, attempt.as_str());
            Ok(Request::Plain(request.map_err(refuse)?))
        }
        Some(_) => Err(refuse("the target is of another kind")),
        None => Err(refuse("nothing to run")),
    }
}

/// Bytes that a request takes up.
pub fn request_size(start: &Start) -> usize {
    match &start.work {
        Some(Work::Generate(work)) => work.messages.len(),
        Some(Work::Plain(work)) => work.body.len(),
        None => 0,
    }
}

/// Expected cost of a request.
pub fn expected_cost(state: &State, start: &Start) -> Tokens {
    match &start.work {
        Some(Work::Generate(work)) => {
            let cached = state.leases.lock().cached(&start.program);
            let uncached = Tokens(start.prompt_tokens.saturating_sub(cached.0));
            state
                .meter
                .estimate(uncached, Tokens(work.max_tokens.into()))
        }
        _ => meter::PLAIN_COST,
    }
}

/// The refusal of an attempt that may not be queued.
pub fn denial_refusal(denied: Denied) -> Refusal {
    match denied {
        Denied::Superseded => refusal::new(Code::Conflict, Ran::No, "the shard has a newer owner"),
        Denied::Duplicate => refusal::new(Code::Conflict, Ran::Unknown, "the attempt came before"),
        Denied::Fenced => refusal::new(Code::NotRun, Ran::No, "the attempt was fenced off"),
        Denied::Full => refusal::later(
            Code::Overloaded,
            "too much waits or is remembered",
            OVERLOAD_DELAY,
        ),
    }
}
