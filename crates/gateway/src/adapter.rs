//! What an adapter translates: headers of callers and targets, and the objects that the product
//! reads from the platform.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use coord::id::Customer;
use coord::id::DataCentre;
use coord::id::Program;
use coord::id::Request;
use http::HeaderMap;
use node::object::Object;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::config::Service;

/// Something that can't be read, and what was expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

/// What a caller says in a request's headers.
#[derive(Clone)]
pub struct Call {
    /// The caller's name for this attempt.
    pub request: Request,
    /// The caller's key.
    pub key: Option<CompactString>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// The object that the request is about.
    pub affinity: Option<CompactString>,
    pub program: Option<Program>,
    /// Time until the program should have ended.
    pub finish_within: Option<Duration>,
    /// Tokens that all turns of the program may generate.
    pub budget: Option<u64>,
    /// Tokens of the prompt and the most that may be generated.
    pub tokens: Option<TokenUse>,
    /// The turn that this one continues.
    pub previous: Option<Request>,
    /// The shared part that the prompt starts with.
    pub shared_prefix: Option<PromptPart>,
    /// Tokens of the prompt behind the shared part.
    pub own_tokens: u64,
    /// Whether the caller goes on with a stream that broke.
    pub resumes: bool,
}

impl fmt::Debug for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Call")
            .field("request", &self.request)
            .field("program", &self.program)
            .field("previous", &self.previous)
            .finish_non_exhaustive()
    }
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u64,
}

/// Tokens of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenUse {
    pub prompt: u64,
    /// Most that may be generated.
    pub max_generated: u64,
}

/// What the product tells a target about a request.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// Which target is meant; another one at this address refuses.
    pub target: &'a str,
    pub customer: Option<&'a Customer>,
    /// Time left for the caller.
    pub remaining: Duration,
    /// Rank among the target's requests, from 0, the most urgent, to 9; for engines only.
    pub urgency: Option<u8>,
    /// The last event that the caller has, if a broken stream goes on.
    pub last_event: Option<&'a str>,
}

/// What a target says in an answer's headers.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// The request that is answered.
    pub request: Option<CompactString>,
    /// Whether the target vouches for the answer.
    pub sealed: bool,
    /// Whether the target states that it didn't run the request.
    pub not_run: bool,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    Ready,
    Leaving,
}

/// A target as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub id: CompactString,
    pub service: Service,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub stage: Stage,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Start of this incarnation, in milliseconds since 1970.
    pub born: Option<u64>,
}

/// The translation of one platform.
pub trait Adapter: Send + Sync + 'static {
    /// Where the platform asks whether this process takes callers.
    fn ready_path(&self) -> &str;

    /// Reads a configuration.
    ///
    /// Errors: a field is missing or can't be read.
    fn config(&self, object: &Object) -> Result<Config, Malformed>;

    /// Reads a target's registration.
    ///
    /// Errors: a field is missing or can't be read.
    fn target(&self, object: &Object) -> Result<Target, Malformed>;

    /// Reads a caller's headers.
    ///
    /// Errors: a needed header is missing, stands twice or can't be read.
    fn call(&self, headers: &HeaderMap) -> Result<Call, Malformed>;

    /// Turns a caller's headers into those for a target.
    fn dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads a target's headers.
    fn reply(&self, headers: &HeaderMap) -> Reply;

    /// Names the request in an answer of the product's own.
    fn set_request_id(&self, headers: &mut HeaderMap, request: &str);
}
