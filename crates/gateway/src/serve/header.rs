//! Headers that concern one connection, and the type of a body.

use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Uri;
use http::header;
use http::request::Parts;

/// Removes hop-by-hop headers, including those that `Connection` lists, and also `Content-Length`
/// and `Expect`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
    const NAMES: [HeaderName; 9] = [
        header::CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    for name in NAMES {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

/// Type of an answer's body, as far as it tells a stream of events from other answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MediaType {
    EventStream,
    Other,
    /// The answer names none.
    Absent,
}

impl MediaType {
    /// Type that the headers of an answer name.
    pub fn of(headers: &HeaderMap) -> MediaType {
        const EVENT_STREAM: &[u8] = b"text/event-stream";
        let mut values = headers.get_all(header::CONTENT_TYPE).iter();
        match (values.next(), values.next()) {
            (None, _) => MediaType::Absent,
            (Some(value), None) => {
                let essence = value.as_bytes().split(|byte| *byte == b';').next();
                match essence.unwrap_or_default().trim_ascii() {
                    essence if essence.eq_ignore_ascii_case(EVENT_STREAM) => MediaType::EventStream,
                    _ => MediaType::Other,
                }
            }
            (Some(_), Some(_)) => MediaType::Other,
        }
    }
}

impl fmt::Display for MediaType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MediaType::EventStream => "an event stream",
            MediaType::Other => "another type",
            MediaType::Absent => "no type",
        })
    }
}

/// Copies the parts of a head that share the buffer in which it arrived. That buffer is much larger than most heads,
/// and would be kept as long as the request.
pub fn detach(parts: &mut Parts) {
    let size = parts.headers.values().map(HeaderValue::len).sum();
    let mut copies = BytesMut::with_capacity(size);
    for value in parts.headers.values_mut() {
        copies.extend_from_slice(value.as_bytes());
        // A copy of a valid value is valid.
        if let Ok(copy) = HeaderValue::from_maybe_shared(copies.split().freeze()) {
            *value = copy;
        }
    }
    if let Ok(copy) = Uri::from_maybe_shared(Bytes::from(parts.uri.to_string())) {
        parts.uri = copy;
    }
}
