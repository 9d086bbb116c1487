//! Hop-by-hop headers.

use http::HeaderMap;
use http::HeaderName;
use http::header;

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
