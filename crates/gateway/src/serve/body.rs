//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body as HttpBody;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::Full;

use crate::serve::stream::Broken;
use crate::serve::stream::Relay;

/// Body of a response: buffered, or a relayed stream.
#[derive(Debug)]
pub enum Body {
    Buffered(Full<Bytes>),
    Stream(Box<Relay>),
}

impl Body {
    /// Creates a buffered body.
    pub fn buffered(bytes: impl Into<Bytes>) -> Body {
        Body::Buffered(Full::new(bytes.into()))
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
            Body::Stream(relay) => relay.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Buffered(body) => body.is_end_stream(),
            Body::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Buffered(body) => body.size_hint(),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}
