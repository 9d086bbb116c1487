//! Calls to history hosts through another entry, used by an entry that can't connect to them.
//!
//! A relay forwards calls and answers unchanged and takes no decisions, so relayed calls give the
//! same guarantees as direct ones. Relays call hosts only directly.

use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use node::link;
use node::link::Link;
use node::link::Payload;
use node::link::Responder;

use crate::message;
use crate::quorum;
use crate::quorum::Transport;

/// Timeout for a host's answer; the longest after which the caller sends the call again. With a shorter one, a
/// host whose syncs take longer would never answer in time.
const ANSWER_TIMEOUT: Duration = quorum::MAX_ANSWER_TIMEOUT;

/// First byte of a relay's answer if the host didn't answer.
const UNREACHED: u8 = 0;

/// First byte of a relay's answer if the host's answer follows.
const ANSWERED: u8 = 1;

/// Handler that forwards the calls of other entries.
#[derive(Debug)]
pub struct Relay {
    transport: Arc<Transport>,
}

impl Relay {
    /// A relay that forwards calls over the direct connections of `transport`.
    pub fn new(transport: Arc<Transport>) -> Relay {
        Relay { transport }
    }
}

impl link::Handler for Relay {
    fn handle(self: &Arc<Self>, payload: Bytes, responder: Responder) {
        let disk = message::addressed_disk(&payload);
        let Some(host) = disk.and_then(|disk| self.transport.view().link(disk)) else {
            return responder.send(Bytes::from_static(&[UNREACHED]));
        };
        tokio::spawn(async move {
            let answer = host.call(payload, ANSWER_TIMEOUT).await;
            responder.send(encode_answer(answer));
        });
    }
}

fn encode_answer(answer: Result<Bytes, link::Error>) -> Bytes {
    let Ok(answer) = answer else {
        return Bytes::from_static(&[UNREACHED]);
    };
    let mut encoded = BytesMut::with_capacity(1 + answer.len());
    encoded.put_u8(ANSWERED);
    encoded.put_slice(&answer);
    encoded.freeze()
}

/// Calls a host through a relay.
///
/// Errors: the relay or the host didn't answer; the host may have received the call.
pub async fn call(relay: &Link, frame: Payload, timeout: Duration) -> Result<Bytes, link::Error> {
    let mut answer = relay.call(frame, timeout).await?;
    match answer.has_remaining() && answer.get_u8() == ANSWERED {
        true => Ok(answer),
        false => Err(link::Error::Lost),
    }
}
