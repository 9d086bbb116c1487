//! Bodies of responses to callers.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body as HttpBody;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::Full;

use crate::serve::caller::Incomplete;
use crate::serve::intake::Claim;
use crate::serve::stream::Broken;
use crate::serve::stream::Relay;

/// Body of a response: buffered, or a relayed stream.
#[derive(Debug)]
pub enum Body {
    Buffered(Full<Bytes>),
    Stream {
        relay: Box<Relay>,
        /// Set until the stream is complete, if only the end of its connection shows that.
        incomplete: Option<Incomplete>,
    },
}

impl Body {
    /// Creates a buffered body.
    pub fn buffered(bytes: impl Into<Bytes>) -> Body {
        Body::Buffered(Full::new(bytes.into()))
    }

    /// Creates a body that relays a stream.
    pub fn stream(relay: Relay) -> Body {
        Body::Stream {
            relay: Box::new(relay),
            incomplete: None,
        }
    }

    /// Marks a stream as incomplete until its end.
    pub fn mark_incomplete(&mut self, mark: Incomplete) {
        if let Body::Stream { incomplete, .. } = self {
            mark.set(true);
            *incomplete = Some(mark);
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Body::Buffered(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Body::Stream { relay, incomplete } => {
                let frame = std::task::ready!(relay.poll_frame(context));
                if let (None, Some(incomplete)) = (&frame, incomplete) {
                    incomplete.set(false);
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Buffered(body) => body.is_end_stream(),
            Body::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Buffered(body) => body.size_hint(),
            Body::Stream { .. } => SizeHint::default(),
        }
    }
}

/// Body of a response whose end ends the request's claim.
#[derive(Debug)]
pub struct Claimed {
    body: Body,
    claim: Arc<Claim>,
}

impl Claimed {
    pub fn new(body: Body, claim: Arc<Claim>) -> Claimed {
        Claimed { body, claim }
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        self.claim.finish_answer();
    }
}

impl HttpBody for Claimed {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
