//! A call as its owner runs it: what it is, whose it is and what may be done with it.

use std::time::Duration;

use bytes::Bytes;
use coord::config::Config;
use coord::id;
use coord::id::Shard;
use coord::id::Tokens;
use coord::record::Call;
use coord::refusal::Code;
use http::Method;
use tokio::time::Instant;
use wire::CallRequest;
use wire::Refusal;
use wire::call_request::What;

use crate::place::Service;
use crate::plain;
use crate::refusal;
use crate::request;

/// Bytes of text that count as one token in estimates.
const TOKEN_BYTES: u64 = 4;
const STEP: &str = "read";

/// What a target is to do.
#[derive(Debug, Clone)]
pub enum Work {
    Chat {
        model: id::Model,
        /// JSON array; for a program's turn the new messages only.
        messages: Bytes,
        max_tokens: u32,
    },
    Plain(wire::Plain),
}

/// One call.
#[derive(Debug, Clone)]
pub struct Job {
    pub call: Call,
    pub customer: id::Customer,
    /// None: on a public route, without a key.
    pub key: Option<id::Key>,
    pub shard: Shard,
    pub deadline: Instant,
    /// Hash of what is asked, to tell a repeat from another request of the same name.
    pub content: u64,
    pub idempotent: bool,
    /// Whether the ledger keeps it: all but idempotent calls that nobody can name again.
    pub recorded: bool,
    /// The name was made for this very try.
    pub fresh: bool,
    pub program: Option<id::Program>,
    pub service: Service,
    pub work: Work,
}

impl Job {
    /// Reads a request; programs' own requests are not jobs.
    pub fn new(request: CallRequest, config: &Config) -> Result<Job, Refusal> {
        let customer: id::Customer = parse(&request.customer)?;
        let key = match request.key_id.is_empty() {
            true => None,
            false => Some(parse(&request.key_id)?),
        };
        let single = Call::Single(customer.clone(), parse(&request.request)?);
        let (call, work) = match request.what {
            Some(What::Chat(chat)) => (
                single,
                chat_work(chat.model, chat.messages, chat.max_tokens)?,
            ),
            Some(What::Step(step)) => {
                let call = Call::Step(parse(&step.program)?, id::Step(step.step));
                (call, chat_work(step.model, step.messages, step.max_tokens)?)
            }
            Some(What::Plain(plain)) if plain.program.is_empty() => (single, Work::Plain(plain)),
            Some(What::Plain(plain)) => {
                let call = Call::Step(parse(&plain.program)?, id::Step(plain.step));
                (call, Work::Plain(plain))
            }
            _ => return Err(request::bad("no such request")),
        };
        let service = service(&work, config)?;
        let idempotent = is_idempotent(&work, config);
        let named = !request::is_fresh(&request.request);
        let program = program(&call);
        Ok(Job {
            shard: shard(&call),
            deadline: Instant::now() + Duration::from_millis(request.deadline_ms),
            content: content(&work),
            fresh: !named && request.hops == 0,
            recorded: !idempotent || named || program.is_some(),
            call,
            customer,
            key,
            idempotent,
            program,
            service,
            work,
        })
    }

    /// Hash of customer and content, by which requests that crash targets are known.
    pub fn fingerprint(&self) -> u64 {
        let customer = self.customer.as_str().as_bytes();
        id::fingerprint(&[customer, &self.content.to_be_bytes()])
    }

    /// Time left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Most tokens to generate.
    pub fn max_tokens(&self) -> Tokens {
        match &self.work {
            Work::Chat { max_tokens, .. } => Tokens(u64::from(*max_tokens)),
            Work::Plain(_) => Tokens(0),
        }
    }

    /// The new messages, for a program's history.
    pub fn input(&self) -> Vec<u8> {
        match (&self.work, &self.program) {
            (Work::Chat { messages, .. }, Some(_)) => messages.to_vec(),
            _ => Vec::new(),
        }
    }

    /// The model, for chats.
    pub fn model(&self) -> Option<id::Model> {
        match &self.work {
            Work::Chat { model, .. } => Some(model.clone()),
            Work::Plain(_) => None,
        }
    }
}

/// Estimated tokens of some text.
pub fn estimate(text: &[u8]) -> Tokens {
    Tokens((text.len() as u64).div_ceil(TOKEN_BYTES))
}

/// A name out of a message between processes.
pub fn parse<T: std::str::FromStr>(name: &str) -> Result<T, Refusal> {
    name.parse().map_err(|_| request::bad("malformed name"))
}

fn chat_work(model: String, messages: Bytes, max_tokens: u32) -> Result<Work, Refusal> {
    Ok(Work::Chat {
        model: parse(&model)?,
        messages,
        max_tokens,
    })
}

fn service(work: &Work, config: &Config) -> Result<Service, Refusal> {
    let missing = |what| refusal::not_run(Code::NotFound, STEP, what);
    match work {
        Work::Chat { model, .. } => match config.model(model) {
            Some(_) => Ok(Service::Model(model.clone())),
            None => Err(missing("no such model")),
        },
        Work::Plain(plain) => {
            let route: id::Route = parse(&plain.route)?;
            match config.route(&route) {
                Some(_) => Ok(Service::Route(route)),
                None => Err(missing("no such route")),
            }
        }
    }
}

/// Generations have no effects; a plain request's route and method decide.
fn is_idempotent(work: &Work, config: &Config) -> bool {
    let Work::Plain(plain) = work else {
        return true;
    };
    let route = plain.route.parse().ok();
    let route = route.and_then(|route| config.route(&route));
    let method = plain.method.parse::<Method>();
    route.is_some_and(|route| route.idempotent)
        || method.is_ok_and(|method| plain::is_safe(&method))
}

fn program(call: &Call) -> Option<id::Program> {
    match call {
        Call::Step(program, _) => Some(program.clone()),
        Call::Single(..) => None,
    }
}

fn shard(call: &Call) -> Shard {
    match call {
        Call::Step(program, _) => Shard::of_program(program),
        Call::Single(customer, request) => Shard::of_request(customer, request),
    }
}

fn content(work: &Work) -> u64 {
    match work {
        Work::Chat {
            model,
            messages,
            max_tokens,
        } => id::fingerprint(&[
            b"chat",
            model.as_str().as_bytes(),
            messages,
            &max_tokens.to_be_bytes(),
        ]),
        Work::Plain(plain) => id::fingerprint(&[
            b"plain",
            plain.route.as_bytes(),
            plain.method.as_bytes(),
            plain.path.as_bytes(),
            &plain.body,
        ]),
    }
}
