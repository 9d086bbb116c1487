//! The owner's decisions on a call, made at its shard and waited for until they stand in two places.

use std::sync::Arc;

use bytes::Bytes;
use coord::decision::Begin;
use coord::decision::Decision;
use coord::id;
use coord::id::Attempt;
use coord::id::Target;
use coord::id::Tokens;
use coord::record::Answer;
use coord::record::Call;
use coord::record::Outcome;
use coord::refusal::Code;
use coord::replica::Replica;
use coord::segment::History;
use wire::Ran;
use wire::Refusal;

use crate::clock::unix_ms;
use crate::job;
use crate::job::Job;
use crate::job::Work;
use crate::member::Member;
use crate::refusal;
use crate::shards::Durable;
use crate::shards::Lost;
use crate::shards::Moved;
use crate::shards::Shards;
use crate::trial;

const STEP: &str = "ledger";
/// Tokens that an engine may count for each message beyond its text.
const MESSAGE_TOKENS: u64 = 8;
/// When to come back after records didn't reach a second place, in milliseconds.
const RETRY_AFTER: u64 = 1000;

/// Why a call goes no further here.
#[derive(Debug)]
pub enum Stop {
    Refused(Refusal),
    /// This node doesn't own the shard.
    Moved(Moved),
    /// Nobody waits for the answer any more.
    Gone,
}

impl From<Moved> for Stop {
    fn from(moved: Moved) -> Stop {
        Stop::Moved(moved)
    }
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Stop {
        Stop::Refused(refusal)
    }
}

/// What becomes of a call.
#[derive(Debug)]
pub enum Turn {
    /// It may be dispatched, with what came before.
    Go(Prompt),
    Replay(Arc<Answer>),
    /// In flight already.
    Attach,
    /// Ahead of its turn.
    Early,
}

/// What an engine is to read.
#[derive(Debug, Clone, Default)]
pub struct Prompt {
    /// JSON array.
    pub messages: Bytes,
    pub tokens: Tokens,
    /// Tokens that the program has been served.
    pub attained: Tokens,
}

/// What becomes of a call before it has a target.
pub async fn review(member: &Member, job: &Job) -> Result<Turn, Stop> {
    if !job.recorded {
        return Ok(Turn::Go(prompt(job, None)?));
    }
    let ask = ask(member, job, unplaced(), id_of_no_target(), [Tokens(0); 2]);
    let (turn, durable) = member.shards().decide(job.shard, |replica| {
        let (records, decision) = split(replica.review(&ask));
        let seen = decision.is_none().then(|| Seen::new(replica, job));
        (records, (decision, seen))
    })?;
    match turn {
        (Some(decision), _) => settled(decision, durable).await,
        (None, seen) => Ok(Turn::Go(prompt(job, seen)?)),
    }
}

/// Whether an earlier send of the same call may have run, as the ledger knows.
pub fn ran(member: &Member, job: &Job) -> Result<Ran, Moved> {
    if !job.recorded {
        return Ok(Ran::No);
    }
    let ask = ask(member, job, unplaced(), id_of_no_target(), [Tokens(0); 2]);
    let decide = |replica: &Replica| (Vec::new(), replica.review(&ask));
    let (decision, _nothing_rests_on_it) = member.shards().decide(job.shard, decide)?;
    Ok(match decision {
        Some(Decision::Replay(_)) => Ran::Yes,
        Some(Decision::Attach) => Ran::Unknown,
        Some(Decision::Refuse(refusal) | Decision::RecordAndRefuse(_, refusal)) => {
            refusal::from_decision(refusal, STEP).ran()
        }
        Some(Decision::Early | Decision::Dispatch(_)) | None => Ran::No,
    })
}

/// Records the dispatch of an attempt; it may be sent once this returns `Go`.
pub async fn begin(
    member: &Member,
    job: &Job,
    attempt: &Attempt,
    target: &Target,
    prompt: &Prompt,
) -> Result<Turn, Stop> {
    if !job.recorded {
        return Ok(Turn::Go(prompt.clone()));
    }
    let attempt = attempt.clone();
    let tokens = [prompt.tokens, job.max_tokens()];
    let ask = ask(member, job, attempt, target.clone(), tokens);
    let (decision, durable) = member.shards().decide(job.shard, |replica| {
        let (records, decision) = split(Some(replica.begin(ask)));
        (records, decision)
    })?;
    match decision {
        Some(decision) => settled(decision, durable).await,
        None => match durable.wait().await {
            Ok(()) => Ok(Turn::Go(prompt.clone())),
            Err(_) => Err(no_second_place().into()),
        },
    }
}

/// Records the outcome of an attempt of any call. What is recorded already counts, as a handover
/// may come between the record and the word that it stands in two places.
pub async fn record_outcome(
    shards: &Arc<Shards>,
    call: &Call,
    shard: id::Shard,
    attempt: &Attempt,
    outcome: Outcome,
) -> Result<(), Stop> {
    let (awaited, durable) = shards.decide(shard, |replica| {
        let held = replica.has_outcome(call, attempt, &outcome);
        let records = replica.settle(call, attempt, outcome, unix_ms());
        let awaited = held || !records.is_empty();
        (records, awaited)
    })?;
    match durable.wait().await {
        Ok(()) if awaited => Ok(()),
        Ok(()) => Err(not_awaited().into()),
        Err(Lost { shard, epoch }) => Err(Moved { shard, epoch }.into()),
    }
}

/// The refusal of a call whose outcome came too late to count: what the ledger holds in its place is
/// told to those that ask again.
pub fn not_awaited() -> Refusal {
    let message = "another outcome is recorded; ask again for it";
    let refusal = refusal::unknown(Code::Unavailable, STEP, message);
    refusal::retry_after(refusal, RETRY_AFTER)
}

/// Waits for what a decision rests on.
async fn settled(decision: Decision, durable: Durable) -> Result<Turn, Stop> {
    if durable.wait().await.is_err() {
        // What was decided may rest on a run that is recorded in one place only.
        return Err(trial::ran_when(no_second_place()).into());
    }
    match decision {
        Decision::Replay(answer) => Ok(Turn::Replay(answer)),
        Decision::Attach => Ok(Turn::Attach),
        Decision::Early => Ok(Turn::Early),
        Decision::Refuse(refusal) | Decision::RecordAndRefuse(_, refusal) => {
            Err(refusal::from_decision(refusal, STEP).into())
        }
        Decision::Dispatch(_) => Err(no_second_place().into()),
    }
}

/// Records to write, and the decision unless it is to dispatch.
fn split(decision: Option<Decision>) -> (Vec<coord::record::Record>, Option<Decision>) {
    match decision {
        None => (Vec::new(), None),
        Some(Decision::Dispatch(records)) => (records, None),
        Some(Decision::RecordAndRefuse(records, refusal)) => {
            (records, Some(Decision::Refuse(refusal)))
        }
        Some(decision) => (Vec::new(), Some(decision)),
    }
}

/// What a program's state holds for its next step.
struct Seen {
    history: Option<History>,
    attained: Tokens,
}

impl Seen {
    fn new(replica: &Replica, job: &Job) -> Seen {
        let program = job.program.as_ref();
        let history = program.and_then(|program| replica.history(program));
        let state = program.and_then(|program| replica.program(program));
        Seen {
            history,
            attained: state.map_or(Tokens(0), |state| state.spent),
        }
    }
}

fn prompt(job: &Job, seen: Option<Seen>) -> Result<Prompt, Refusal> {
    let Work::Chat { messages, .. } = &job.work else {
        return Ok(Prompt::default());
    };
    let attained = seen.as_ref().map_or(Tokens(0), |seen| seen.attained);
    let history = seen.and_then(|seen| seen.history);
    let messages = match history.map(|history| history.messages()) {
        None => messages.clone(),
        Some(Ok(history)) => join(&history, messages),
        Some(Err(broken)) => {
            let message = broken.to_string();
            return Err(refusal::not_run(Code::Unavailable, STEP, message));
        }
    };
    Ok(Prompt {
        tokens: estimate(&messages),
        messages,
        attained,
    })
}

/// Upper bound of the tokens of some messages.
fn estimate(messages: &[u8]) -> Tokens {
    let count = messages.split(|byte| *byte == b'{').count() as u64;
    Tokens(job::estimate(messages).0 + count * MESSAGE_TOKENS)
}

/// Two JSON arrays in one.
fn join(first: &[u8], second: &[u8]) -> Bytes {
    let first = first.trim_ascii();
    let second = second.trim_ascii();
    match (first, second) {
        (b"[]", second) => Bytes::copy_from_slice(second),
        (first, b"[]") => Bytes::copy_from_slice(first),
        (first, second) => {
            let head = first.strip_suffix(b"]").unwrap_or(first);
            let tail = second.strip_prefix(b"[").unwrap_or(second);
            [head, b",", tail].concat().into()
        }
    }
}

fn ask(
    member: &Member,
    job: &Job,
    attempt: Attempt,
    target: Target,
    [estimate, max_tokens]: [Tokens; 2],
) -> Begin {
    Begin {
        call: job.call.clone(),
        customer: job.customer.clone(),
        attempt,
        target,
        sender: member.node(),
        content: job.content,
        input: job.input(),
        model: job.model(),
        estimate,
        max_tokens,
        idempotent: job.idempotent,
        fresh: job.fresh,
        at_ms: unix_ms(),
    }
}

fn unplaced() -> Attempt {
    crate::attempt::fresh(None)
}

fn id_of_no_target() -> Target {
    match "none".parse() {
        Ok(target) => target,
        Err(_) => unreachable!("a valid name"),
    }
}

fn no_second_place() -> Refusal {
    let message = "the decision doesn't stand in two places";
    let refusal = refusal::not_run(Code::Unavailable, STEP, message);
    refusal::retry_after(refusal, RETRY_AFTER)
}
