//! A small HTTP client for the command line.

use bytes::Bytes;
use eyre::WrapErr;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Sends one request to an administrative server and reads the whole reply.
///
/// Errors: invalid URL, no connection, connection lost before the end of the reply.
pub async fn send(
    method: Method,
    url: &str,
    key: &str,
    body: impl Into<Bytes>,
) -> eyre::Result<(StatusCode, Bytes)> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::builder()
        .method(method)
        .uri(url)
        .header(http::header::AUTHORIZATION, format!("Bearer {key}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))?;
    let response = client
        .request(request)
        .await
        .wrap_err_with(|| format!("no reply from {url}"))?;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .wrap_err("incomplete reply")?;
    Ok((status, body.to_bytes()))
}
