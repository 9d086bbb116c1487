//! Calls to history hosts through another entry, for one that is cut off from them.
//!
//! A relay hands a call on as it is and brings the host's answer back; it decides nothing, so that
//! the records are as certain as by a straight connection. Relays don't use relays themselves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use node::link;
use node::link::Link;
use node::link::Responder;

use crate::message;
use crate::quorum::Views;

/// Time for a host's answer, within the 500 ms after which the caller asks again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// First byte of what a relay sends back.
const UNREACHED: u8 = 0;
const ANSWERED: u8 = 1;

/// Hands on the calls of other entries.
#[derive(Debug)]
pub struct Relay {
    views: Arc<Views>,
}

impl Relay {
    /// A relay to the hosts of these views.
    pub fn new(views: Arc<Views>) -> Relay {
        Relay { views }
    }
}

impl link::Handler for Relay {
    fn handle(self: &Arc<Self>, payload: Bytes, responder: Responder) {
        let disk = message::disk(&payload);
        let Some(host) = disk.and_then(|disk| self.views.get().link(disk)) else {
            return responder.send(Bytes::from_static(&[UNREACHED]));
        };
        tokio::spawn(async move {
            let answer = host.call(payload, ANSWER_TIMEOUT).await;
            responder.send(wrap(answer));
        });
    }
}

fn wrap(answer: Result<Bytes, link::Error>) -> Bytes {
    let Ok(answer) = answer else {
        return Bytes::from_static(&[UNREACHED]);
    };
    let mut wrapped = BytesMut::with_capacity(1 + answer.len());
    wrapped.put_u8(ANSWERED);
    wrapped.put_slice(&answer);
    wrapped.freeze()
}

/// Calls a host through a relay.
///
/// Errors: the relay or the host isn't reached; the host may have got the call.
pub async fn call(relay: &Link, frame: Bytes, timeout: Duration) -> Result<Bytes, link::Error> {
    let mut wrapped = relay.call(frame, timeout).await?;
    match wrapped.has_remaining() && wrapped.get_u8() == ANSWERED {
        true => Ok(wrapped),
        false => Err(link::Error::Lost),
    }
}
