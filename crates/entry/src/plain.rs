//! Requests to plain services, as a target may see them: without the caller's key and without
//! headers that concern one connection only.

use bytes::Bytes;
use coord::id::Customer;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::Uri;
use http::header;

use crate::request::IDEMPOTENCY_KEY;
use crate::request::OWN_PREFIX;

const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
];

/// Names the request to the target, the same in every attempt.
const REQUEST_ID: &str = "x-request-id";
const KEEP_ALIVE: &str = "keep-alive";

/// Whether a method is idempotent on any route.
pub fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

/// Path and query behind `/r/{route}`.
pub fn path(uri: &Uri) -> String {
    let whole = uri.path_and_query().map_or("/", |path| path.as_str());
    let behind = whole.strip_prefix("/r/").unwrap_or(whole);
    match behind.find(['/', '?']) {
        Some(at) if behind[at..].starts_with('/') => behind[at..].to_string(),
        Some(at) => format!("/{}", &behind[at..]),
        None => "/".to_string(),
    }
}

/// Headers for the target.
pub fn headers(headers: &HeaderMap, customer: &Customer, request: &str) -> Vec<wire::Header> {
    let named = nominated(headers);
    let own = (!headers.contains_key(REQUEST_ID)).then(|| wire::Header {
        name: REQUEST_ID.to_string(),
        value: format!("{customer}:{request}").into(),
    });
    headers
        .iter()
        .filter(|(name, _)| passes(name) && !named.iter().any(|other| other == name.as_str()))
        .map(|(name, value)| wire::Header {
            name: name.to_string(),
            value: scoped(name, value.as_bytes(), customer),
        })
        .chain(own)
        .collect()
}

/// Whether a header of a target's answer goes to the caller.
pub fn answers(name: &HeaderName) -> bool {
    !CONNECTION_HEADERS.contains(name) && name.as_str() != KEEP_ALIVE
}

fn passes(name: &HeaderName) -> bool {
    let keys = [header::AUTHORIZATION, header::PROXY_AUTHORIZATION];
    answers(name) && !keys.contains(name) && !name.as_str().starts_with(OWN_PREFIX)
}

/// Headers that the `connection` header names.
fn nominated(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter();
    let names = values.filter_map(|value| value.to_str().ok());
    let names = names.flat_map(|value| value.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// A request's name is unique within its customer only; the target sees both.
fn scoped(name: &HeaderName, value: &[u8], customer: &Customer) -> Bytes {
    match name.as_str() == IDEMPOTENCY_KEY {
        true => [customer.as_str().as_bytes(), b":", value].concat().into(),
        false => Bytes::copy_from_slice(value),
    }
}
