//! Callers' requests read from HTTP: bodies within their limit, and the system's own headers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::id;
use coord::refusal::Code;
use futures::Stream;
use futures::StreamExt;
use gateway::serve::intake::Claim;
use gateway::serve::memory::Source;
use http::HeaderMap;
use http::header;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::Instant;
use wire::Refusal;

use crate::auth::Caller;
use crate::refusal;
use crate::settings::Limits;
use crate::trial;

/// Names a request, so that it can be sent again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The program that a call belongs to.
pub const PROGRAM: &str = "teasellever-program";
/// The call's number in its program, from 1.
pub const STEP: &str = "teasellever-step";
/// Time for the whole request, in milliseconds.
pub const TIMEOUT: &str = "teasellever-timeout-ms";
/// Start of the names of headers that are the system's own.
pub const OWN_PREFIX: &str = "teasellever-";

/// Start of the names that the system makes.
const FRESH: &str = "auto-";
const READ: &str = "read";
/// When to come back after a refusal for lack of memory, in milliseconds.
const RETRY_AFTER: u64 = 1000;
/// Longest time for which the rest of a refused body is received.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
const DEFAULT_MAX_TOKENS: u32 = 1024;
const MAX_TOKENS_LIMIT: u32 = 1 << 20;

/// Body of a chat completion.
#[derive(Debug, Deserialize)]
pub struct Chat {
    pub model: id::Model,
    pub messages: Vec<Value>,
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    #[serde(default)]
    pub stream: bool,
}

impl Chat {
    /// Reads and checks the body.
    pub fn parse(body: &[u8]) -> Result<Chat, Refusal> {
        let chat: Chat = parse(body)?;
        match chat.messages.iter().all(is_message) && !chat.messages.is_empty() {
            true => Ok(chat),
            false => Err(bad("`messages` needs objects with a `role`")),
        }
    }

    /// The messages as a JSON array.
    pub fn messages(&self) -> Vec<u8> {
        serde_json::to_vec(&self.messages).unwrap_or_default()
    }

    /// Most tokens to generate.
    pub fn max_tokens(&self) -> u32 {
        let wanted = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        wanted.clamp(1, MAX_TOKENS_LIMIT)
    }
}

/// Body of a request to open a program.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub tokens: u64,
    pub calls: u64,
    pub wall_ms: u64,
}

/// A program and the call's number in it.
#[derive(Debug, Clone)]
pub struct Turn {
    pub program: id::Program,
    pub step: id::Step,
}

/// Reads a JSON body.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| bad(format!("body: {error}")))
}

/// A request's body. What is left of it when it is dropped is still received and thrown away for
/// a short time: a connection closed on unread bytes is reset, which loses the answer on its way.
pub struct Body {
    incoming: Option<Incoming>,
    claim: Arc<Claim>,
}

impl Body {
    /// A body that occupies memory of its connection's claim.
    pub fn new(incoming: Incoming, claim: Arc<Claim>) -> Body {
        Body {
            incoming: Some(incoming),
            claim,
        }
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        // A connection that makes room for others is closed.
        let incoming = self.incoming.take().filter(|_| !self.claim.ends());
        if let Some(body) = incoming.filter(|body| !body.is_end_stream()) {
            drain(body.into_data_stream());
        }
    }
}

/// Reads a whole body, at most the limit, before the deadline.
pub async fn read(
    body: Body,
    caller: &Caller,
    headers: &HeaderMap,
    limits: &Limits,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    if announced(headers) > limits.body_bytes {
        return Err(too_large(limits));
    }
    let claim = Arc::clone(&body.claim);
    let source = Source::customer(caller.customer.as_str());
    let claimed = claim.begin_body(source, Instant::now());
    claimed.map_err(|_| no_room(headers))?;
    let gather = tokio::time::timeout_at(deadline, gather(body, headers, limits));
    tokio::select! {
        body = gather => match body {
            Ok(body) => body,
            Err(_) => Err(refusal::not_run(Code::Deadline, READ, "the body is late")),
        },
        () = claim.refused() => Err(no_room(headers)),
    }
}

async fn gather(mut body: Body, headers: &HeaderMap, limits: &Limits) -> Result<Bytes, Refusal> {
    let claim = Arc::clone(&body.claim);
    let Some(incoming) = &mut body.incoming else {
        return Ok(Bytes::new());
    };
    let announced = incoming.size_hint().exact().map(|size| size as usize);
    let mut size = 0;
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| bad("the body broke off"))?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        size += part.len();
        if size > limits.body_bytes {
            return Err(too_large(limits));
        }
        let appended = claim.append(&part, announced, Instant::now());
        appended.map_err(|_| no_room(headers))?;
    }
    let finished = claim.finish_body(Instant::now());
    finished.map_err(|_| no_room(headers))
}

/// Refusal of a request whose memory others occupy. One that has a name may have run before.
fn no_room(headers: &HeaderMap) -> Refusal {
    let message = "no memory for the request";
    let refusal = refusal::not_run(Code::Overloaded, READ, message);
    let refusal = refusal::retry_after(refusal, RETRY_AFTER);
    match headers.contains_key(IDEMPOTENCY_KEY) || headers.contains_key(STEP) {
        true => trial::ran_when(refusal),
        false => refusal,
    }
}

/// Receives and throws away the rest of a body while the refusal is on its way.
fn drain<T, E>(stream: impl Stream<Item = Result<T, E>> + Send + Unpin + 'static)
where
    T: Send + 'static,
    E: Send + 'static,
{
    let rest = stream.take_while(|part| std::future::ready(part.is_ok()));
    let rest = rest.for_each(|_| std::future::ready(()));
    tokio::spawn(tokio::time::timeout(DRAIN_LIMIT, rest));
}

/// When the answer must be whole.
pub fn deadline(headers: &HeaderMap, limits: &Limits) -> Result<Instant, Refusal> {
    let timeout = match text(headers, TIMEOUT)? {
        None => limits.timeout_ms.0,
        Some(text) => {
            let millis: u64 = text.parse().map_err(|_| bad_header(TIMEOUT))?;
            millis.min(limits.timeout_max_ms.0)
        }
    };
    Ok(Instant::now() + Duration::from_millis(timeout))
}

/// The caller's name for the request, if it gave one.
pub fn name(headers: &HeaderMap) -> Result<Option<id::Request>, Refusal> {
    match text(headers, IDEMPOTENCY_KEY)? {
        None => Ok(None),
        Some(name) if is_fresh(name) => Err(bad_header(IDEMPOTENCY_KEY)),
        Some(name) => {
            let name = name.parse().map_err(|_| bad_header(IDEMPOTENCY_KEY))?;
            Ok(Some(name))
        }
    }
}

/// A name for a request that came without one.
pub fn fresh_name() -> String {
    format!("{FRESH}{}", uuid::Uuid::new_v4().simple())
}

/// Whether the system made this name, so that no caller can ask for it again.
pub fn is_fresh(name: &str) -> bool {
    name.starts_with(FRESH)
}

/// The program's turn that the request is, if any.
pub fn turn(headers: &HeaderMap) -> Result<Option<Turn>, Refusal> {
    match (text(headers, PROGRAM)?, text(headers, STEP)?) {
        (None, None) => Ok(None),
        (Some(program), Some(step)) => {
            let program = program.parse().map_err(|_| bad_header(PROGRAM))?;
            let step: id::Step = step.parse().map_err(|_| bad_header(STEP))?;
            match step.0 > 0 {
                true => Ok(Some(Turn { program, step })),
                false => Err(bad_header(STEP)),
            }
        }
        (Some(_), None) => Err(bad_header(STEP)),
        (None, Some(_)) => Err(bad_header(PROGRAM)),
    }
}

/// Refusal of a request that can't be understood.
pub fn bad(message: impl Into<String>) -> Refusal {
    refusal::not_run(Code::BadRequest, READ, message)
}

fn is_message(value: &Value) -> bool {
    value.get("role").is_some_and(Value::is_string)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let value = headers.get(name).map(|value| value.to_str());
    value.transpose().map_err(|_| bad_header(name))
}

fn bad_header(name: &str) -> Refusal {
    bad(format!("header `{name}` is missing or malformed"))
}

fn too_large(limits: &Limits) -> Refusal {
    let message = format!("the body is larger than {} bytes", limits.body_bytes);
    refusal::not_run(Code::TooLarge, READ, message)
}

fn announced(headers: &HeaderMap) -> usize {
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok());
    length.and_then(|length| length.parse().ok()).unwrap_or(0)
}
