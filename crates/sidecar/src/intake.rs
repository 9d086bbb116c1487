//! Parses requests from entries: the owner's authority, the work for the target and its expected
//! cost.

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

/// Retry delay sent with a refusal by an overloaded target.
pub const OVERLOAD_DELAY: Millis = Millis(500);

/// A parsed request to the target.
#[derive(Debug)]
pub enum Request {
    Generate(Bytes),
    Plain(ServiceRequest),
}

/// Parses the shard and epoch under which a message was sent.
///
/// Errors: the shard's number is out of range.
pub fn parse_authority(shard: u32, epoch: u64) -> Result<Authority, Refusal> {
    let shard = u16::try_from(shard);
    let shard =
        shard.map_err(|_| refusal::new(Code::BadRequest, Ran::No, "shard number out of range"))?;
    Ok(Authority {
        shard: Shard(shard),
        epoch: Epoch(epoch),
    })
}

/// Takes the work out of `start` and parses it.
///
/// Errors: the work is missing, malformed, meant for another kind of target, or contains a caller's
/// key.
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
        Some(_) => Err(refuse("the request doesn't match the kind of the target")),
        None => Err(refuse("the start message contains no work")),
    }
}

/// Size of a request's body, in bytes.
pub fn request_size(start: &Start) -> usize {
    match &start.work {
        Some(Work::Generate(work)) => work.messages.len(),
        Some(Work::Plain(work)) => work.body.len(),
        None => 0,
    }
}

/// Expected cost of a request, in prefill-equivalent tokens.
pub fn expected_cost(state: &State, start: &Start) -> Tokens {
    match &start.work {
        Some(Work::Generate(work)) => {
            let cached = state.leases.lock().cached_tokens(&start.program);
            let uncached = Tokens(start.prompt_tokens.saturating_sub(cached.0));
            state
                .meter
                .estimate(uncached, Tokens(work.max_tokens.into()))
        }
        _ => meter::PLAIN_COST,
    }
}

/// Converts the ledger's denial of an attempt into a refusal.
pub fn denial_refusal(denied: Denied) -> Refusal {
    match denied {
        Denied::Superseded => refusal::new(Code::Conflict, Ran::No, "the shard has a newer owner"),
        Denied::Duplicate => refusal::new(
            Code::Conflict,
            Ran::Unknown,
            "the attempt was already received",
        ),
        Denied::Fenced => refusal::new(Code::NotRun, Ran::No, "the attempt was fenced off"),
        Denied::Full => refusal::retryable(
            Code::Overloaded,
            "too many requests or recorded attempts",
            OVERLOAD_DELAY,
        ),
    }
}
