//! Filters the headers of requests and answers. Callers' keys are never sent to a target.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use wire::Header;

use crate::key;

/// Headers that carry credentials; dropped from requests.
const CREDENTIALS: [&str; 4] = [
    "authorization",
    "proxy-authorization",
    "x-api-key",
    "api-key",
];

/// Headers that apply to a single connection; dropped in both directions.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a request's headers are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// A name or value isn't valid in HTTP.
    Malformed,
    /// A value contains text in the format of a caller's key.
    Key,
}

/// Returns the request headers to send to the target.
///
/// Errors: a header is malformed or contains a key.
pub fn request_to_target(headers: &[Header]) -> Result<HeaderMap, Error> {
    let mut passed = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name: HeaderName = header.name.parse().map_err(|_| Error::Malformed)?;
        if is_dropped(&name) {
            continue;
        }
        if key::contains_key(&header.value) {
            return Err(Error::Key);
        }
        let value = HeaderValue::from_bytes(&header.value).map_err(|_| Error::Malformed)?;
        passed.append(name, value);
    }
    Ok(passed)
}

/// Returns the answer headers to send to the caller.
pub fn answer_to_caller(headers: &HeaderMap) -> Vec<Header> {
    let passed = headers.iter().filter(|(name, _)| !is_hop_by_hop(name));
    passed
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec().into(),
        })
        .collect()
}

/// Returns whether the body of an answer is encoded below its chunks. The HTTP library decodes only chunks.
pub fn has_transfer_coding(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http::header::TRANSFER_ENCODING).iter();
    let mut codings = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    codings.any(|coding| !coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

fn is_dropped(name: &HeaderName) -> bool {
    CREDENTIALS.contains(&name.as_str()) || is_hop_by_hop(name)
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
}
