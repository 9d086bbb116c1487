//! Turns of programs: budget, history, engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use coord::id::Customer;
use coord::id::Program;
use coord::id::Request;
use history::client::Grant;
use history::client::Reservation;
use history::record::Account;
use history::record::Turn;
use history::time::Timestamp;
use http::Response;
use tokio::time::Instant;

use crate::config::Stream;
use crate::edge::Target;
use crate::metrics::Round;
use crate::serve::body::Body;
use crate::serve::chain::Found;
use crate::serve::header::strip_hop_by_hop;
use crate::serve::plain;
use crate::serve::refusal::Refusal;
use crate::serve::request::Job;
use crate::serve::request::retry_pause;
use crate::serve::stream::Relay;
use crate::serve::tries::Tries;
use crate::state::State;
use crate::target::balance;
use crate::target::balance::Prompt;
use crate::target::directory::Candidate;
use crate::target::send;
use crate::target::send::Answer;
use crate::target::send::Attempt;

/// Time for the history's answer; beyond, a turn is refused while its caller can still come back.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for keeping what a turn has used, once its caller needn't wait for it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A turn whose tokens are reserved; they are settled when it is dropped.
#[derive(Debug)]
pub struct Reserved {
    state: Arc<State>,
    reservation: Reservation,
    /// Tokens handed to the caller.
    pub used: u64,
    settled: bool,
}

impl Reserved {
    /// The record of what the turn has used, to be kept together with others.
    pub fn settle(&mut self) -> history::record::Record {
        self.settled = true;
        history::client::settled_charge(&self.reservation, self.used)
    }

    /// Where the turn's records stand.
    pub fn account(&self) -> &Account {
        &self.reservation.account
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let state = Arc::clone(&self.state);
        let reservation = self.reservation.clone();
        let used = self.used;
        tokio::spawn(async move {
            let deadline = Instant::now() + SETTLE_TIMEOUT;
            if let Err(error) = state.history.settle(&reservation, used, deadline).await {
                log::warn!(
                    step = "settle", peer = "history", request = reservation.turn.as_str();
                    "turn counts at its most: {error}"
                );
            }
        });
    }
}

/// What a turn needs while its stream runs.
#[derive(Debug)]
pub struct Running {
    pub job: Job,
    /// The whole input, as sent to the engine.
    pub body: Bytes,
    /// The engine that runs it.
    pub target: Option<Target>,
    pub stream: Stream,
    pub reserved: Option<Reserved>,
    pub urgency: Option<u8>,
    pub tries: Tries,
    pub tokens_per_event: u64,
    /// What an engine may have read of the prompt.
    pub prompt: Prompt,
    /// When the turn was first sent to an engine.
    pub sent: Instant,
}

impl Running {
    /// The id of the engine that runs it; empty before there is one.
    pub fn target_id(&self) -> &str {
        let target = self.target.as_ref();
        target.map_or("", |target| target.id.as_str())
    }
}

/// Runs a turn; its stream is relayed while it runs.
pub async fn answer(
    state: &Arc<State>,
    job: Job,
    stream: Stream,
) -> Result<Response<Body>, Refusal> {
    if state.is_cut_off() {
        return Err(Refusal::Unavailable {
            cause: "this entry doesn't reach the history".to_owned(),
            retry: retry_pause(),
        });
    }
    let deadline = job.deadline.min(Instant::now() + HISTORY_TIMEOUT);
    let seen = job.call.program.as_ref();
    let seen = seen.and_then(|program| state.programs.lock().target(program));
    let likely = likely_target(state, &job, prompt(&job, seen));
    let (reserved, body) = tokio::join!(
        reserve(state, &job, stream, likely, deadline),
        build(state, &job, stream, deadline)
    );
    let ((reserved, elsewhere), body) = (reserved?, body?);
    let mut running = Running {
        tokens_per_event: state.tokens_per_event(&job.service),
        prompt: prompt(&job, seen.or(elsewhere)),
        sent: Instant::now(),
        urgency: Some(urgency(&job)),
        tries: Tries::new(&job),
        job,
        body,
        target: None,
        stream,
        reserved,
    };
    let answer = dispatch(state, &mut running, None).await?;
    match answer.parts.status.is_success() {
        true => Ok(relay(state, running, answer)),
        false => unsuccessful(running, answer).await,
    }
}

/// Hands on an engine's answer that isn't a stream.
async fn unsuccessful(running: Running, answer: Answer) -> Result<Response<Body>, Refusal> {
    let status = answer.parts.status;
    let response = plain::collect(answer, &running.job).await;
    let response = response.map_err(|error| Refusal::Lost(error.to_string()))?;
    let outcome = format!("engine answers {status}");
    running.job.log_end(&outcome, running.target_id(), None);
    Ok(response)
}

/// Sends a turn to an engine, and to others while that does no harm.
///
/// Errors: no engine answers.
pub async fn dispatch(
    state: &Arc<State>,
    running: &mut Running,
    last_event: Option<&str>,
) -> Result<Answer, Refusal> {
    loop {
        let entry = next(state, running)?;
        let attempt = Attempt {
            job: &running.job,
            body: running.body.clone(),
            urgency: running.urgency,
            last_event,
        };
        match send::send(state, &entry, &attempt).await {
            Ok(answer) => return Ok(answer),
            Err(error) => running.tries.failed(error, &running.job)?,
        }
    }
}

fn next(state: &State, running: &mut Running) -> Result<Candidate, Refusal> {
    let entry = running
        .tries
        .next(state, &running.job, Some(running.prompt), None)?;
    if let Some(program) = &running.job.call.program {
        let target = balance::target_hash(&entry.target.id);
        state.programs.lock().set_target(program, target);
    }
    running.target = Some(entry.target.clone());
    if let Some(prefix) = running.prompt.prefix {
        let target = balance::target_hash(&entry.target.id);
        state
            .prefixes
            .lock()
            .record_use(prefix, target, state.time());
    }
    Ok(entry)
}

/// What an engine may have read of a turn's prompt, if the program's newest turn ran there.
fn prompt(job: &Job, target: Option<u32>) -> Prompt {
    let shared = job.call.shared_prefix;
    Prompt {
        prefix: shared.map(|part| part.id as u32),
        prefix_tokens: shared.map_or(0, |part| part.tokens),
        last_target: target,
        own_tokens: job.call.own_tokens,
    }
}

/// Hash of the target that will run a turn, as far as can be told before its budget is known.
fn likely_target(state: &State, job: &Job, prompt: Prompt) -> u32 {
    let entry = Tries::new(job).next(state, job, Some(prompt), None);
    entry.map_or(0, |entry| balance::target_hash(&entry.target.id))
}

fn relay(state: &Arc<State>, running: Running, answer: Answer) -> Response<Body> {
    let Answer {
        mut parts,
        body,
        lease,
        idle,
        ..
    } = answer;
    strip_hop_by_hop(&mut parts.headers);
    let relay = Relay::new(Arc::clone(state), running, body, lease, idle);
    Response::from_parts(parts, Body::Stream(Box::new(relay)))
}

/// Urgency for an engine, from the customer's or else the route's priority.
fn urgency(job: &Job) -> u8 {
    const MIDDLE: u8 = 4;
    const LEAST: u8 = 9;
    let of_customer = job.customer.as_ref().and_then(|customer| customer.priority);
    let priority = of_customer.unwrap_or(job.route.priority);
    MIDDLE.saturating_add(priority).min(LEAST)
}

async fn reserve(
    state: &Arc<State>,
    job: &Job,
    stream: Stream,
    target: u32,
    deadline: Instant,
) -> Result<(Option<Reserved>, Option<u32>), Refusal> {
    let (Some(program), Some(budget), Some(tokens)) =
        (&job.call.program, job.call.budget, job.call.tokens)
    else {
        if let Some(customer) = &job.customer {
            state.admit(customer, false)?;
        }
        return Ok((None, None));
    };
    let reservation = Reservation {
        account: Account {
            customer: customer_name(job),
            program: program.clone(),
        },
        turn: job.call.request.clone(),
        max_tokens: tokens.most,
        budget,
        target,
        expires: Timestamp::now().after(stream.retention),
    };
    let reserved = Reserved {
        state: Arc::clone(state),
        reservation,
        used: 0,
        settled: false,
    };
    match state.history.reserve(&reserved.reservation, deadline).await {
        Ok(Grant::Granted { first, target }) => {
            if let Some(customer) = &job.customer {
                state.admit(customer, first)?;
            }
            Ok((Some(reserved), target))
        }
        Ok(Grant::Spent(taken)) => {
            log::info!(
                step = "reserve", peer = "history", request = job.call.request.as_str(),
                program = program.as_str(), taken = taken, most = tokens.most, budget = budget;
                "budget doesn't hold the turn"
            );
            Err(Refusal::BudgetSpent)
        }
        Err(error) => Err(unavailable(&error)),
    }
}

/// Builds an engine's input from the chain that a turn continues.
async fn build(
    state: &Arc<State>,
    job: &Job,
    stream: Stream,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let input = &job.body;
    let previous = match &job.call.previous {
        Some(previous) if stream.kept => previous,
        _ => return Ok(input.clone()),
    };
    let customer = customer_name(job);
    let contents = fetch(state, job, previous, &customer, deadline).await?;
    let size = contents.iter().map(Bytes::len).sum::<usize>() + input.len();
    let mut body = BytesMut::with_capacity(size);
    for content in &contents {
        body.extend_from_slice(content);
    }
    body.extend_from_slice(input);
    Ok(body.freeze())
}

async fn fetch(
    state: &Arc<State>,
    job: &Job,
    previous: &Request,
    customer: &Customer,
    deadline: Instant,
) -> Result<Vec<Bytes>, Refusal> {
    let found = state.chains.lock().find(previous, customer);
    let (missing, known) = match found {
        Found::Whole(contents) => return Ok(contents),
        Found::Foreign => return Err(Refusal::NoTurn),
        Found::From(missing, known) => (missing, known),
    };
    let near = Account {
        customer: customer.clone(),
        program: program_name(job),
    };
    let started = Instant::now();
    let chain = state.history.chain(&missing, &near, deadline).await;
    state.instruments.asked(Round::Chain, started.elapsed());
    let chain: Vec<Turn> = match chain {
        Ok(Some(chain)) if chain.iter().all(|turn| turn.customer == *customer) => chain,
        Ok(_) => return Err(Refusal::NoTurn),
        Err(error) => return Err(unavailable(&error)),
    };
    let mut contents = history::client::contents_oldest_first(&chain);
    contents.extend(known);
    let mut cache = state.chains.lock();
    chain.into_iter().rev().for_each(|turn| cache.insert(turn));
    Ok(contents)
}

/// Name under which turns of routes that are open to all are kept.
pub fn customer_name(job: &Job) -> Customer {
    match &job.customer {
        Some(customer) => customer.name.clone(),
        None => no_customer(),
    }
}

/// Name of the program that a turn belongs to; its own if it belongs to none.
pub fn program_name(job: &Job) -> Program {
    match &job.call.program {
        Some(program) => program.clone(),
        None => no_program(),
    }
}

fn no_customer() -> Customer {
    match "_".parse() {
        Ok(name) => name,
        Err(_) => unreachable!("an underscore is a name"),
    }
}

fn no_program() -> Program {
    match "_".parse() {
        Ok(name) => name,
        Err(_) => unreachable!("an underscore is a name"),
    }
}

fn unavailable(error: &history::error::Error) -> Refusal {
    Refusal::Unavailable {
        cause: error.to_string(),
        retry: retry_pause(),
    }
}
