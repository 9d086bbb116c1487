//! The administrative server of a process: state dump, metrics and health.
//!
//! It listens on its own address, separate from the callers' address. The dump requires an
//! operator's key; metrics and health need no authentication.

use std::net::SocketAddr;

use dropshot::ApiDescription;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::HttpServer;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::ServerContext;
use http::Response;
use http::StatusCode;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::metrics::Metrics;
use crate::operator::Operator;

/// Largest body on the administrative server, in bytes.
const BODY_LIMIT: usize = 1024 * 1024;

/// Default number of items of each long list in one dump.
const DEFAULT_PAGE_LIMIT: usize = 100;

/// The part of each long list that a dump contains.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
pub struct Page {
    /// Number of items to skip.
    #[serde(default)]
    pub skip: usize,
    /// Largest number of items to return.
    #[serde(default = "default_page_limit")]
    pub limit: usize,
}

/// Data that a daemon exposes on its administrative server.
pub trait Source: Send + Sync + 'static {
    /// The state as JSON, without keys or prompts.
    fn dump(&self, page: &Page) -> serde_json::Value;

    /// Whether the process is ready to serve requests.
    fn healthy(&self) -> bool;

    fn metrics(&self) -> &Metrics;

    /// Operators whose keys are accepted.
    fn operators(&self) -> &[Operator];
}

/// Endpoints that every daemon serves; `Context` is the daemon's [`Source`].
#[dropshot::api_description]
pub trait Admin {
    type Context: Source;

    /// Returns the state of the process; requires an operator's key.
    #[endpoint { method = GET, path = "/v1/state" }]
    async fn state(
        request: RequestContext<Self::Context>,
        page: Query<Page>,
    ) -> Result<HttpResponseOk<serde_json::Value>, HttpError> {
        let source = request.context();
        authorize(source.operators(), request.request.headers())?;
        Ok(HttpResponseOk(source.dump(&page.into_inner())))
    }

    /// Returns the metrics in the Prometheus text format.
    #[endpoint { method = GET, path = "/metrics" }]
    async fn metrics(
        request: RequestContext<Self::Context>,
    ) -> Result<Response<dropshot::Body>, HttpError> {
        let text = request.context().metrics().text();
        let text = text.map_err(|error| HttpError::for_internal_error(format!("{error:#}")))?;
        reply(StatusCode::OK, "text/plain; version=0.0.4", text)
    }

    /// Returns 200 if the process is ready to serve requests, otherwise 503.
    #[endpoint { method = GET, path = "/healthz" }]
    async fn healthz(
        request: RequestContext<Self::Context>,
    ) -> Result<Response<dropshot::Body>, HttpError> {
        match request.context().healthy() {
            true => reply(StatusCode::OK, "text/plain", "ok\n".to_owned()),
            false => reply(
                StatusCode::SERVICE_UNAVAILABLE,
                "text/plain",
                "unavailable\n".to_owned(),
            ),
        }
    }
}

/// Describes the common endpoints; a daemon may register its own in addition.
///
/// # Panics
/// Never: the paths are fixed and distinct.
pub fn api_description<S: Source>() -> ApiDescription<S> {
    enum Common<S> {
        _Never(std::marker::PhantomData<S>, std::convert::Infallible),
    }
    impl<S: Source> Admin for Common<S> {
        type Context = S;
    }
    admin_mod::api_description::<Common<S>>().expect("paths are distinct")
}

/// Starts the administrative server.
///
/// Errors: the address can't be bound.
pub fn serve<C: ServerContext>(
    address: SocketAddr,
    api: ApiDescription<C>,
    context: C,
) -> eyre::Result<HttpServer<C>> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: BODY_LIMIT,
        ..ConfigDropshot::default()
    };
    let server = ServerBuilder::new(api, context, crate::log::slog())
        .config(config)
        .start()?;
    Ok(server)
}

/// Checks the bearer token of a request against the operators' keys.
///
/// Errors: 401 if the token is missing or no operator has this key.
pub fn authorize(operators: &[Operator], headers: &http::HeaderMap) -> Result<(), HttpError> {
    let presented = headers
        .get(http::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or_default();
    match operators.iter().any(|operator| operator.verify(presented)) {
        true => Ok(()),
        false => {
            let code = Some("unauthorized".to_owned());
            let status = dropshot::ClientErrorStatusCode::UNAUTHORIZED;
            Err(HttpError::for_client_error(
                code,
                status,
                "no operator's key".to_owned(),
            ))
        }
    }
}

fn default_page_limit() -> usize {
    DEFAULT_PAGE_LIMIT
}

fn reply(
    status: StatusCode,
    content_type: &str,
    body: String,
) -> Result<Response<dropshot::Body>, HttpError> {
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, content_type)
        .body(body.into())
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
