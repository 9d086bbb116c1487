//! Fetches configuration, targets and membership from another entry while the object store doesn't
//! answer this one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::id::SoftwareVersion;
use history::membership::Membership;
use node::link;
use node::link::Link;
use node::link::Responder;
use node::object::Object;
use node::object::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::adapter::Target;
use crate::state::State;

/// Time between requests, and timeout of each.
const INTERVAL: Duration = Duration::from_millis(250);

/// Versions that the requesting entry holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Version of its configuration.
    pub version: u64,
    /// Revision of its targets.
    pub revision: u64,
}

/// State that is newer than the request's versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// The configuration object's `spec` as JSON, if it is newer.
    pub config: Option<String>,
    /// The targets and their revision, if they are newer.
    pub targets: Option<(u64, Vec<Target>)>,
    pub membership: Membership,
}

impl Response {
    /// Encodes the response; the targets' software versions, and how long they stay cold, follow it, where
    /// earlier builds ignore them.
    ///
    /// Errors: none that the fields can cause.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let response = postcard::to_stdvec(self)?;
        let targets = self
            .targets
            .as_ref()
            .map_or(&[][..], |(_, targets)| targets);
        let versions: Vec<&Option<SoftwareVersion>> =
            targets.iter().map(|target| &target.version).collect();
        let cold: Vec<Option<Duration>> = targets.iter().map(|target| target.cold).collect();
        postcard::to_extend(&(versions, cold), response)
    }

    /// Decodes a response, also of a build that sends less than this one.
    ///
    /// Errors: the response is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Response, postcard::Error> {
        let (mut response, rest) = postcard::take_from_bytes::<Response>(bytes)?;
        if let (Some((_, targets)), false) = (&mut response.targets, rest.is_empty()) {
            let (versions, rest): (Vec<Option<SoftwareVersion>>, _) =
                postcard::take_from_bytes(rest)?;
            for (target, version) in targets.iter_mut().zip(versions) {
                target.version = version;
            }
            let cold: Vec<Option<Duration>> = match rest.is_empty() {
                true => Vec::new(),
                false => postcard::from_bytes(rest)?,
            };
            for (target, cold) in targets.iter_mut().zip(cold) {
                target.cold = cold;
            }
        }
        Ok(response)
    }
}

/// Handles requests of other entries.
impl link::Handler for State {
    fn handle(self: &Arc<Self>, payload: Bytes, responder: Responder) {
        match postcard::from_bytes::<Request>(&payload) {
            Ok(request) => match self.sync_response(request).encode() {
                Ok(response) => responder.send(Bytes::from(response)),
                Err(error) => log::error!(step = "encode news", peer = "entry"; "{error}"),
            },
            Err(error) => log::warn!(step = "read question", peer = "entry"; "{error}"),
        }
    }
}

/// Fetches state from another entry every [`INTERVAL`] while the object store doesn't answer, until
/// the task is dropped.
pub async fn follow(state: Arc<State>) {
    let mut link: Option<Link> = None;
    loop {
        tokio::time::sleep(history::join::jittered(INTERVAL)).await;
        if !state.is_object_store_lost() {
            link = None;
            continue;
        }
        let Some(address) = state.sync_peer() else {
            continue;
        };
        if link.as_ref().is_none_or(|link| link.address() != address) {
            link = Some(Link::new(address));
        }
        if let Some(link) = &link {
            fetch(&state, link).await;
        }
    }
}

async fn fetch(state: &State, link: &Link) {
    let request = match postcard::to_stdvec(&state.sync_request()) {
        Ok(request) => Bytes::from(request),
        Err(error) => return log::error!(step = "encode question", peer = "entry"; "{error}"),
    };
    let response = match link.call(request, INTERVAL).await {
        Ok(response) => response,
        Err(error) => {
            return log::debug!(step = "ask entry", peer:% = link.address(); "{error}");
        }
    };
    match Response::decode(&response) {
        Ok(response) => state.apply_sync_response(response, &link.address().to_string()),
        Err(error) => log::warn!(step = "read news", peer:% = link.address(); "{error}"),
    }
}

/// Parses a configuration object from the JSON of its `spec`.
///
/// Errors: the text isn't JSON.
pub fn parse_object(text: &str) -> Result<Object, serde_json::Error> {
    Ok(Object {
        name: "from another entry".to_owned(),
        revision: Revision(0),
        spec: serde_json::from_str(text)?,
        status: serde_json::Value::Null,
    })
}
