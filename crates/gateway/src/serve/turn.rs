//! Runs turns of programs: reserves budget, builds the input from the history and dispatches to an
//! engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use coord::id::Customer;
use coord::id::Request;
use history::origin::Origin;
use history::origin::State as Stored;
use history::record::Account;
use history::record::Turn;
use history::retention::Predecessor;
use http::Response;
use http::StatusCode;
use tokio::time::Instant;

use crate::adapter::Target;
use crate::config::Stream;
use crate::error::Error;
use crate::metrics::HistoryCall;
use crate::serve::answer;
use crate::serve::body::Body;
use crate::serve::chain::Lookup;
use crate::serve::header::MediaType;
use crate::serve::header::strip_hop_by_hop;
use crate::serve::memory::Exhausted;
use crate::serve::memory::Share;
use crate::serve::memory::Source;
use crate::serve::origin;
use crate::serve::plain;
use crate::serve::refusal::Refusal;
use crate::serve::refusal::Unresumable;
use crate::serve::request::Job;
use crate::serve::request::retry_delay;
use crate::serve::reservation;
use crate::serve::retry::RetryState;
use crate::serve::stream::Relay;
use crate::state::State;
use crate::target::balance::Prompt;
use crate::target::directory::Candidate;
use crate::target::hash;
use crate::target::permit::Choice;
use crate::target::send;
use crate::target::send::Answer;
use crate::target::send::Attempt;
use crate::target::version::Rule;

/// Time limit for calls to the history hosts before a turn is dispatched. A turn that exceeds it is
/// refused early enough for its caller to retry.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(900);

/// A turn in progress.
#[derive(Debug)]
pub struct Running {
    pub job: Job,
    /// Complete input as sent to the engine, including the turns that this one continues.
    pub body: Bytes,
    /// Turns that this one continues, oldest first, if the route stores turns. Their contents are parts
    /// of `body`.
    pub predecessors: Vec<Predecessor>,
    /// Engine that the turn was last sent to.
    pub target: Option<Target>,
    pub stream: Stream,
    pub reservation: Option<reservation::Guard>,
    pub urgency: Option<u8>,
    pub retry: RetryState,
    /// Stored origin of the stream, if its caller may resume it.
    pub origin: Option<Origin>,
    pub tokens_per_event: u64,
    /// Parts of the prompt that an engine may have processed before.
    pub prompt: Prompt,
    /// Time at which the turn was first sent to an engine.
    pub sent: Instant,
    /// Type of the stream that the caller receives; none until then.
    pub relayed: Option<MediaType>,
}

impl Running {
    /// Returns the id of the engine that the turn was last sent to, or an empty string.
    pub fn target_id(&self) -> &str {
        let target = self.target.as_ref();
        target.map_or("", |target| target.id.as_str())
    }

    /// Restricts further attempts to the software version whose events the caller has received.
    ///
    /// Errors: the version isn't known.
    pub fn pin_version(&mut self) -> Result<(), Refusal> {
        let is_ambiguous = self
            .origin
            .as_ref()
            .is_some_and(|origin| origin.state == Stored::Ambiguous);
        let target = self.target.as_ref().filter(|_| !is_ambiguous);
        let version = target.and_then(|target| target.version.clone());
        let unknown = Refusal::NotResumable(Unresumable::OriginUnknown);
        self.retry.versions = Rule::Only(version.ok_or(unknown)?);
        Ok(())
    }
}

/// Runs a turn and returns the response once an engine starts to answer.
///
/// Errors: the turn is refused, or no engine answers.
pub async fn answer(
    state: &Arc<State>,
    job: Job,
    stream: Stream,
) -> Result<Response<Body>, Refusal> {
    let resumes = stream.resumable && job.call.resumption.is_some();
    let result = run(state, job, stream).await;
    if resumes {
        let is_success = |response: &Response<Body>| response.status().is_success();
        let continued = result.as_ref().is_ok_and(is_success);
        state.instruments.record_resumption(continued);
    }
    result
}

async fn run(state: &Arc<State>, mut job: Job, stream: Stream) -> Result<Response<Body>, Refusal> {
    if state.is_cut_off() {
        return Err(Refusal::Unavailable {
            cause: "this entry doesn't reach the history".to_owned(),
            retry: retry_delay(),
        });
    }
    state.limits.lock().record_demand();
    let deadline = job.deadline.min(Instant::now() + HISTORY_TIMEOUT);
    let mut retry = RetryState::new(&job);
    if stream.resumable {
        restrict_to_origin(state, &mut job, &mut retry, deadline).await?;
    }
    let last_target = job.call.program.as_ref();
    let last_target = last_target.and_then(|program| state.programs.lock().target(program));
    let predicted = predict_target(state, &job, &retry, prompt(&job, last_target))?;
    let origin = match &predicted {
        Some(entry) if stream.resumable => choose_version(&job, &mut retry, &entry.target),
        _ => None,
    };
    let (reserved, body) = tokio::join!(
        reservation::reserve(state, &job, stream, predicted, origin.clone(), deadline),
        build_input(state, &job, stream, deadline)
    );
    let ((reservation, recorded_target), (body, predecessors)) = (reserved?, body?);
    let mut running = Running {
        tokens_per_event: state.tokens_per_event(&job.service),
        prompt: prompt(&job, last_target.or(recorded_target)),
        sent: Instant::now(),
        urgency: Some(urgency(&job)),
        retry,
        origin,
        job,
        body,
        predecessors,
        target: None,
        stream,
        reservation,
        relayed: None,
    };
    let answer = dispatch(state, &mut running, None).await?;
    match answer.parts.status.is_success() {
        true => Ok(relay(state, running, answer)),
        false => relay_error(state, running, answer).await,
    }
}

/// Restricts a turn that resumes a stream to the service and software version that began it.
///
/// Errors: they aren't known, or the history can't be read.
async fn restrict_to_origin(
    state: &State,
    job: &mut Job,
    retry: &mut RetryState,
    deadline: Instant,
) -> Result<(), Refusal> {
    if let Some(resumption) = &job.call.resumption {
        let source = origin::find(state, job, resumption, deadline).await?;
        job.service = source.service;
        retry.versions = Rule::Only(source.version);
    }
    Ok(())
}

/// Makes a turn prefer the software version of the target that will probably run it; returns the
/// origin to store.
fn choose_version(job: &Job, retry: &mut RetryState, target: &Target) -> Option<Origin> {
    if retry.versions == Rule::Any {
        retry.versions = Rule::preferring(target);
    }
    origin::chosen(job, target)
}

/// Relays an engine's error response, which is not a stream.
async fn relay_error(
    state: &State,
    running: Running,
    answer: Answer,
) -> Result<Response<Body>, Refusal> {
    let status = answer.parts.status;
    let response = plain::collect(state, answer, &running.job).await;
    let response = response.map_err(|error| Refusal::Lost(Error::from(error).to_string()))?;
    let outcome = format!("engine answers {status}");
    running
        .job
        .log_outcome(&outcome, running.target.as_ref(), None);
    Ok(response)
}

/// Sends a turn to an engine and, while a retry is allowed, to others. `last_event` is the id of the
/// last event relayed before the stream broke.
///
/// Errors: no engine answers.
pub async fn dispatch(
    state: &Arc<State>,
    running: &mut Running,
    last_event: Option<&str>,
) -> Result<Answer, Refusal> {
    if let (Some(_), Some(target), Rule::Only(_)) =
        (running.relayed, &running.target, &running.retry.versions)
    {
        let deadline = running.job.deadline.min(Instant::now() + HISTORY_TIMEOUT);
        origin::check_began(state, target, deadline).await?;
    }
    loop {
        let choice = choose_target(state, running)?;
        let chosen = Instant::now();
        let target = &choice.candidate.target;
        if let Err(error) = store_version(state, running, target).await {
            return Err(running.retry.abandon(error, &running.job));
        }
        let attempt = Attempt {
            job: &running.job,
            body: running.body.clone(),
            urgency: running.urgency,
            last_event,
            chosen,
        };
        let answer = send::send(state, &choice, &attempt).await;
        let answer = match answer {
            Ok(answer) => match check_stream(running, &answer) {
                Ok(()) => confirm_version(state, running, target)
                    .await
                    .map(|()| answer),
                Err(error) => Err(error),
            },
            Err(error) => Err(error),
        };
        match answer {
            Ok(answer) => return Ok(answer),
            Err(error) => running.retry.record_failure(error, &running.job)?,
        }
    }
}

/// Checks that a successful answer is a stream, and that one that resumes a stream is its rest: the caller
/// has the head of another answer already and would read an error as part of it.
///
/// Errors: it isn't.
fn check_stream(running: &Running, answer: &Answer) -> Result<(), Error> {
    let status = answer.parts.status;
    let media_type = MediaType::of(&answer.parts.headers);
    match running.relayed {
        Some(relayed) if status == StatusCode::OK && media_type == relayed => Ok(()),
        Some(_) => Err(Error::MaybeRun(format!(
            "engine answered {status} with {media_type} when the stream was resumed"
        ))),
        None if !status.is_success() => Ok(()),
        None if status == StatusCode::OK && media_type != MediaType::Other => Ok(()),
        None => Err(Error::MaybeRun(format!(
            "engine answered {status} with {media_type} instead of a stream"
        ))),
    }
}

/// Stores the software version of the target that a turn is about to be sent to, unless it is stored
/// already.
///
/// Errors: it can't be stored in time.
async fn store_version(state: &State, running: &mut Running, target: &Target) -> Result<(), Error> {
    if !running.stream.resumable {
        return Ok(());
    }
    match origin::moved(&running.job, running.origin.as_ref(), target) {
        Some(origin) => store_origin(state, running, origin).await,
        None => Ok(()),
    }
}

/// Checks that a target that answers hasn't restarted since it was chosen: which version began the
/// stream would be uncertain.
///
/// Errors: the caller has received events of another version, or the uncertainty can't be stored.
async fn confirm_version(
    state: &State,
    running: &mut Running,
    target: &Target,
) -> Result<(), Error> {
    match (&running.retry.versions, &running.origin) {
        _ if !running.stream.resumable || !state.is_superseded(target) => Ok(()),
        (Rule::Only(_), _) => Err(Error::MaybeRun(
            "target restarted after it was chosen".to_owned(),
        )),
        (_, Some(origin)) => {
            let origin = origin::ambiguous(origin);
            let stored = store_origin(state, running, origin).await;
            stored.map_err(|error| Error::MaybeRun(error.to_string()))
        }
        (_, None) => Ok(()),
    }
}

async fn store_origin(state: &State, running: &mut Running, origin: Origin) -> Result<(), Error> {
    let deadline = running.job.deadline.min(Instant::now() + HISTORY_TIMEOUT);
    origin::store(state, &running.job, &origin, deadline).await?;
    running.origin = Some(origin);
    Ok(())
}

/// Chooses the engine for the next attempt and records the choice for the program and the prompt.
fn choose_target(state: &State, running: &mut Running) -> Result<Choice, Refusal> {
    let choice = running
        .retry
        .next_target(state, &running.job, Some(running.prompt), None)?;
    let entry = &choice.candidate;
    if let Some(program) = &running.job.call.program {
        let target = hash::target_hash(&entry.target.id);
        state.programs.lock().set_target(program, target);
    }
    running.target = Some(entry.target.clone());
    if let Some(prefix) = running.prompt.prefix {
        let target = hash::target_hash(&entry.target.id);
        state
            .prefixes
            .lock()
            .record_use(prefix, target, state.time());
    }
    Ok(choice)
}

/// Describes a turn's prompt for the choice of an engine; `target` is the hash of the target that ran
/// the program's newest turn.
fn prompt(job: &Job, target: Option<u32>) -> Prompt {
    let shared = job.call.shared_prefix;
    Prompt {
        prefix: shared.map(|part| part.id as u32),
        prefix_tokens: shared.map_or(0, |part| part.tokens),
        last_target: target,
        own_tokens: job.call.own_tokens,
    }
}

/// Returns the target that will probably run a turn, chosen before its budget is reserved; none if
/// there is none now.
///
/// Errors: the limits of all targets are used up, or the turn resumes a stream, and no target may go on
/// with it.
fn predict_target(
    state: &State,
    job: &Job,
    retry: &RetryState,
    prompt: Prompt,
) -> Result<Option<Candidate>, Refusal> {
    let predicted = retry.clone().next_target(state, job, Some(prompt), None);
    match (predicted, &retry.versions) {
        (Err(refusal @ Refusal::Limited { .. }), _) => Err(refusal),
        (Err(refusal), Rule::Only(_)) => Err(refusal),
        (predicted, _) => Ok(predicted.ok().map(|choice| choice.candidate)),
    }
}

fn relay(state: &Arc<State>, mut running: Running, answer: Answer) -> Response<Body> {
    running.relayed = Some(MediaType::of(&answer.parts.headers));
    if running.job.call.previous.is_some() {
        state.record_chain_served(&running.job.call.request);
    }
    let (relay, mut parts) = Relay::new(Arc::clone(state), running, answer);
    strip_hop_by_hop(&mut parts.headers);
    Response::from_parts(parts, Body::stream(relay))
}

/// Returns the urgency for an engine, from 0 (most urgent) to 9, by the customer's priority or else
/// the route's.
fn urgency(job: &Job) -> u8 {
    const DEFAULT_URGENCY: u8 = 4;
    const LOWEST_URGENCY: u8 = 9;
    let customer_priority = job.customer.as_ref().and_then(|customer| customer.priority);
    let priority = customer_priority.unwrap_or(job.route.priority);
    DEFAULT_URGENCY.saturating_add(priority).min(LOWEST_URGENCY)
}

/// Builds an engine's input from the chain that a turn continues and the turn's own input; also returns
/// the chain, oldest first.
async fn build_input(
    state: &Arc<State>,
    job: &Job,
    stream: Stream,
    deadline: Instant,
) -> Result<(Bytes, Vec<Predecessor>), Refusal> {
    let input = &job.body;
    let previous = match &job.call.previous {
        Some(previous) if stream.stores_turns => previous,
        _ => return Ok((input.clone(), Vec::new())),
    };
    let customer = job.customer_name();
    let source = Source::customer(customer.as_str());
    let mut share = state.chain_memory.share(source);
    let chain = find_chain(state, job, previous, &customer, &mut share, deadline);
    let mut chain = chain.await?;
    let contents = content_bytes(&chain);
    let size = contents + input.len();
    if contents > max_chain_bytes(state) {
        return Err(Refusal::ChainTooLong);
    }
    // The chain and its copy.
    share.resize(contents + size)?;
    let mut body = BytesMut::with_capacity(size);
    for known in &chain {
        body.extend_from_slice(&known.turn.content);
    }
    body.extend_from_slice(input);
    share.resize(size)?;
    let body = share.attach(body.freeze());
    // The turn would keep the contents allocated until it ends, also after the cache has evicted them.
    let mut start = 0;
    for known in &mut chain {
        let end = start + known.turn.content.len();
        known.turn.content = body.slice(start..end);
        start = end;
    }
    Ok((body, chain))
}

/// Largest chain that a turn may continue, in bytes. It is copied once.
fn max_chain_bytes(state: &State) -> usize {
    state.chain_memory.source_bytes() / 2
}

fn content_bytes(chain: &[Predecessor]) -> usize {
    chain.iter().map(|known| known.turn.content.len()).sum()
}

/// Returns a stored turn and its predecessors, oldest last, or `None` if one of them is certainly absent:
/// also under the newest membership, which a disk of an older build may not have sent to the others. `share`
/// takes the memory of the turns and of `cached` bytes besides.
async fn find_stored(
    state: &State,
    turn: &Request,
    placement: &Account,
    cached: usize,
    share: &mut Share,
    deadline: Instant,
) -> Result<Option<Vec<Turn>>, Refusal> {
    let limit = max_chain_bytes(state);
    let mut find = async || {
        let admit = |bytes| cached + bytes <= limit && share.resize(cached + bytes).is_ok();
        let history = &state.history;
        let chain = history.admitted_chain(turn, placement, admit, deadline);
        chain.await.map_err(|error| match error {
            history::error::Error::NotAdmitted(bytes) if cached + bytes > limit => {
                Refusal::ChainTooLong
            }
            history::error::Error::NotAdmitted(_) => Exhausted.into(),
            error => Refusal::history_unavailable(&error),
        })
    };
    let known = state.history.membership().epoch;
    if let Some(chain) = find().await? {
        return Ok(Some(chain));
    }
    if !state.membership_requests.read(deadline).await {
        return Err(Refusal::Unavailable {
            cause: "the history hosts without the turn may not be all".to_owned(),
            retry: retry_delay(),
        });
    }
    match state.history.membership().epoch > known {
        true => find().await,
        false => Ok(None),
    }
}

/// Returns the chain that ends with `previous`, oldest first, and caches the turns fetched from the
/// history hosts. `share` takes the memory of the chain unless it is cached.
async fn find_chain(
    state: &Arc<State>,
    job: &Job,
    previous: &Request,
    customer: &Customer,
    share: &mut Share,
    deadline: Instant,
) -> Result<Vec<Predecessor>, Refusal> {
    let lookup = state.chains.lock().find(previous, customer);
    let (missing, cached) = match lookup {
        Lookup::Complete(chain) => return Ok(chain),
        Lookup::OtherCustomer => return Err(foreign_turn(state, job)),
        Lookup::Partial(missing, cached) => (missing, cached),
    };
    let account = Account {
        customer: customer.clone(),
        program: job.program_name(),
    };
    let started = Instant::now();
    let fetch = tokio::time::timeout_at(deadline, state.chain_fetches.acquire()).await;
    let Ok(Ok(fetch)) = fetch else {
        return Err(Exhausted.into());
    };
    let cached_bytes = content_bytes(&cached);
    let chain = find_stored(state, &missing, &account, cached_bytes, share, deadline).await;
    drop(fetch);
    state
        .instruments
        .record_history_call(HistoryCall::Chain, started.elapsed());
    let chain: Vec<Turn> = match chain? {
        Some(chain) if chain.iter().all(|turn| turn.customer == *customer) => chain,
        Some(_) => return Err(foreign_turn(state, job)),
        None => return Err(Refusal::NoTurn),
    };
    let mut cache = state.chains.lock();
    let mut found = Vec::with_capacity(chain.len() + cached.len());
    for turn in chain.into_iter().rev() {
        cache.insert(turn.clone());
        let retained = turn.expires;
        found.push(Predecessor { turn, retained });
    }
    found.extend(cached);
    Ok(found)
}

/// Refuses a turn that continues one of another customer, as far as this entry knows: a newer configuration may name
/// the caller's key as that customer's.
fn foreign_turn(state: &State, job: &Job) -> Refusal {
    match job.call.key.is_some() && job.customer.is_none() {
        true => Refusal::NotConfigured,
        false => answer::refusal_if_current(state, Refusal::NoTurn),
    }
}
