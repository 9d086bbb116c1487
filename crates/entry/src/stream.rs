//! Frames of one call's answer, and bodies that stream out of them.

use coord::refusal::Code;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use parking_lot::Mutex;
use wire::Refusal;
use wire::call_frame::Frame;

use crate::refusal;

/// What comes back for one call, in order; whole if it ends in `Done` or `Reply`.
pub type Frames = Pin<Box<dyn Stream<Item = Frame> + Send>>;

/// Parts of a body; an error breaks the connection off.
pub type Parts = Pin<Box<dyn Stream<Item = Result<Bytes, Broken>> + Send>>;

/// An answer that broke off midway.
#[derive(Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// A body for dropshot, which asks for `Sync`.
pub struct Body {
    parts: Mutex<Parts>,
}

impl Body {
    /// A response body that streams some parts.
    pub fn stream(parts: Parts) -> dropshot::Body {
        dropshot::Body::wrap(Body {
            parts: Mutex::new(parts),
        })
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, Broken>>> {
        let parts = self.parts.get_mut();
        let part = parts.poll_next_unpin(context);
        part.map(|part| part.map(|part| part.map(http_body::Frame::data)))
    }
}

/// Frames known in advance.
pub fn ready(frames: Vec<Frame>) -> Frames {
    futures::stream::iter(frames).boxed()
}

/// Frames that stop at the last one of a whole answer, or end in a refusal if it is missing.
pub fn checked(mut frames: Frames) -> Frames {
    let checked = async_stream::stream! {
        while let Some(frame) = frames.next().await {
            let last = is_last(&frame);
            yield frame;
            if last {
                return;
            }
        }
        yield Frame::Refusal(broken());
    };
    checked.boxed()
}

/// Whether a frame ends its answer.
pub fn is_last(frame: &Frame) -> bool {
    match frame {
        Frame::Done(_) | Frame::Refusal(_) | Frame::Moved(_) | Frame::Reply(_) => true,
        Frame::Head(_) | Frame::Chunk(_) => false,
    }
}

/// Refusal in place of the rest of an answer.
pub fn broken() -> Refusal {
    refusal::unknown(Code::Broken, "stream", "the answer broke off midway")
}

/// Parts that can't break.
pub fn parts(stream: impl Stream<Item = Result<Bytes, Infallible>> + Send + 'static) -> Parts {
    stream
        .map(|part| part.map_err(|never| match never {}))
        .boxed()
}
