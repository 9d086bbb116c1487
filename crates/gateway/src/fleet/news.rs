//! Configuration and targets from another entry, while the object store turns this one away.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use history::membership::Membership;
use node::link;
use node::link::Link;
use node::link::Responder;
use node::object::Object;
use node::object::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::edge::Target;
use crate::state::State;

/// Pause between questions, and time for an answer.
const PAUSE: Duration = Duration::from_millis(250);

/// What the asking entry knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of its configuration.
    pub version: u64,
    /// Revision of its targets.
    pub revision: u64,
}

/// What the asked entry knows beyond that.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// The configuration's object as text, if it is newer.
    pub config: Option<String>,
    /// The targets and their revision, if they are newer.
    pub targets: Option<(u64, Vec<Target>)>,
    pub membership: Membership,
}

/// Answers other entries.
impl link::Handler for State {
    fn handle(self: &Arc<Self>, payload: Bytes, responder: Responder) {
        match postcard::from_bytes::<Request>(&payload) {
            Ok(question) => match postcard::to_stdvec(&self.sync_response(question)) {
                Ok(answer) => responder.send(Bytes::from(answer)),
                Err(error) => log::error!(step = "encode news", peer = "entry"; "{error}"),
            },
            Err(error) => log::warn!(step = "read question", peer = "entry"; "{error}"),
        }
    }
}

/// Asks other entries whenever the object store doesn't answer, until the task is dropped.
pub async fn follow(state: Arc<State>) {
    let mut link: Option<Link> = None;
    loop {
        tokio::time::sleep(history::join::jittered(PAUSE)).await;
        if !state.is_lost() {
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
            ask(&state, link).await;
        }
    }
}

async fn ask(state: &State, link: &Link) {
    let question = match postcard::to_stdvec(&state.sync_request()) {
        Ok(question) => Bytes::from(question),
        Err(error) => return log::error!(step = "encode question", peer = "entry"; "{error}"),
    };
    let answer = match link.call(question, PAUSE).await {
        Ok(answer) => answer,
        Err(error) => {
            return log::debug!(step = "ask entry", peer:% = link.address(); "{error}");
        }
    };
    match postcard::from_bytes::<Response>(&answer) {
        Ok(answer) => state.apply_sync_response(answer, &link.address().to_string()),
        Err(error) => log::warn!(step = "read news", peer:% = link.address(); "{error}"),
    }
}

/// A configuration's object from text.
///
/// Errors: the text isn't JSON.
pub fn read_object(text: &str) -> Result<Object, serde_json::Error> {
    Ok(Object {
        name: "from another entry".to_owned(),
        revision: Revision(0),
        spec: serde_json::from_str(text)?,
        status: serde_json::Value::Null,
    })
}
