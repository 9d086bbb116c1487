//! Interface to a platform: an adapter translates headers of callers and targets, and decodes the
//! objects that are read from the platform.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use coord::id::Customer;
use coord::id::DataCentre;
use coord::id::Program;
use coord::id::Rate;
use coord::id::Request;
use coord::id::SoftwareVersion;
use http::HeaderMap;
use node::object::Object;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::config::Service;

/// Decoding error that names the malformed input or what was expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

/// Headers of a caller's request.
#[derive(Clone)]
pub struct Call {
    /// Request id, chosen by the caller for this attempt.
    pub request: Request,
    /// Key that authenticates the caller.
    pub key: Option<CompactString>,
    /// Time that the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// Object that the request concerns; sticky routes choose the target by it.
    pub affinity: Option<CompactString>,
    pub program: Option<Program>,
    /// Time within which the program should end.
    pub finish_within: Option<Duration>,
    /// Maximum number of tokens that all turns of the program may generate.
    pub budget: Option<u64>,
    pub tokens: Option<TokenUse>,
    /// Turn that this one continues.
    pub previous: Option<Request>,
    /// Leading part of the prompt, shared with other requests.
    pub shared_prefix: Option<PromptPart>,
    /// Number of prompt tokens after the shared part.
    pub own_tokens: u64,
    /// Broken stream that the caller resumes.
    pub resumption: Option<Resumption>,
}

/// A broken stream that a caller resumes with a new request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resumption {
    /// Request that brought the stream's first event, if the caller names it.
    pub first_request: Option<Request>,
    /// Id of the last event that the caller received.
    pub last_event: Option<CompactString>,
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

/// Identified part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u64,
}

/// Declared token counts of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenUse {
    pub prompt: u64,
    /// Maximum number of generated tokens.
    pub max_generated: u64,
}

/// Request metadata sent to a target.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// Id of the intended target; a different target at the same address refuses the request.
    pub target: &'a str,
    pub customer: Option<&'a Customer>,
    /// Time until the caller's deadline.
    pub remaining: Duration,
    /// Rank among the target's requests, from 0 (most urgent) to 9; engines only.
    pub urgency: Option<u8>,
    /// Id of the last event that the caller received, if a broken stream resumes.
    pub last_event: Option<&'a str>,
}

/// Headers of a target's answer.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// Id of the answered request; none if the answer names none, or more than one.
    pub request: Option<CompactString>,
    /// Whether the target marked the answer as genuine; a successful answer must be.
    pub sealed: bool,
    /// Whether the target confirms that it didn't run the request.
    pub not_run: bool,
    /// Whether the target announces that it leaves.
    pub leaving: bool,
    /// How many requests the target takes from all entries together.
    pub limit: Limit,
    /// Time for which the target stays cold, if it says so.
    pub cold: Option<Duration>,
}

/// What a target's answer says of the requests that it takes from all entries together.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Limit {
    /// Nothing.
    #[default]
    Absent,
    Rate(Rate),
    Malformed(Malformed),
}

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    Ready,
    Leaving,
}

/// Registration of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub id: CompactString,
    pub service: Service,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub stage: Stage,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Start time of this incarnation, in milliseconds since the Unix epoch.
    pub born: Option<u64>,
    /// Version of the software; none if it comes from an entry of an earlier build. Encoded apart
    /// from the other fields; see [`crate::fleet::news`].
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
    /// Time for which it stays cold, at the time of its registration; none if that isn't known, as it
    /// comes from another entry.
    #[serde(skip)]
    pub cold: Option<Duration>,
}

impl Target {
    /// Version of the software as text, or an empty string.
    pub fn version_text(&self) -> &str {
        self.version.as_ref().map_or("", SoftwareVersion::as_str)
    }
}

/// Translation between this crate and one platform.
pub trait Adapter: Send + Sync + 'static {
    /// Path of the platform's readiness probe.
    fn ready_path(&self) -> &str;

    /// Decodes a configuration.
    ///
    /// Errors: a field is missing or can't be decoded.
    fn config(&self, object: &Object) -> Result<Config, Malformed>;

    /// Decodes a target's registration.
    ///
    /// Errors: a field is missing or can't be decoded.
    fn target(&self, object: &Object) -> Result<Target, Malformed>;

    /// Decodes which data centre an object evacuates.
    ///
    /// Errors: its name is no data centre's.
    fn evacuation(&self, object: &Object) -> Result<DataCentre, Malformed>;

    /// Decodes a caller's headers.
    ///
    /// Errors: a required header is missing, duplicated or can't be decoded.
    fn call(&self, headers: &HeaderMap) -> Result<Call, Malformed>;

    /// Replaces a caller's headers by those for a target.
    fn dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Decodes a target's headers.
    fn reply(&self, headers: &HeaderMap) -> Reply;

    /// Adds the request id to an answer that the entry itself produces.
    fn set_request_id(&self, headers: &mut HeaderMap, request: &str);
}
