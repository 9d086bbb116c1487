//! The administrative server of a process: state dump, metrics and health.
//!
//! It listens on an address apart from the callers'. The dump asks for an operator's key; metrics
//! and health are open to those that reach the address.

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

/// Programs shown in one dump unless the query says otherwise.
const PAGE: usize = 100;

/// Which part of long lists a dump shows.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
pub struct Page {
    /// Items to pass over.
    #[serde(default)]
    pub skip: usize,
    /// Items to show at most.
    #[serde(default = "page")]
    pub limit: usize,
}

/// What a daemon shows of itself.
pub trait Source: Send + Sync + 'static {
    /// The state as JSON, without keys or prompts.
    fn dump(&self, page: &Page) -> serde_json::Value;

    /// Whether it serves.
    fn healthy(&self) -> bool;

    /// The process's metrics.
    fn metrics(&self) -> &Metrics;

    /// The operators who may ask.
    fn operators(&self) -> &[Operator];
}

/// The calls that every daemon answers; `Context` is the daemon's [`Source`].
#[dropshot::api_description]
pub trait Admin {
    type Context: Source;

    /// The state of the process.
    #[endpoint { method = GET, path = "/v1/state" }]
    async fn state(
        request: RequestContext<Self::Context>,
        page: Query<Page>,
    ) -> Result<HttpResponseOk<serde_json::Value>, HttpError> {
        let source = request.context();
        authorize(source.operators(), request.request.headers())?;
        Ok(HttpResponseOk(source.dump(&page.into_inner())))
    }

    /// Metrics in the Prometheus text format.
    #[endpoint { method = GET, path = "/metrics" }]
    async fn metrics(
        request: RequestContext<Self::Context>,
    ) -> Result<Response<dropshot::Body>, HttpError> {
        let text = request.context().metrics().text();
        let text = text.map_err(|error| HttpError::for_internal_error(format!("{error:#}")))?;
        reply(StatusCode::OK, "text/plain; version=0.0.4", text)
    }

    /// Whether the process serves.
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

/// The common calls, for a daemon to add its own to.
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

/// Starts a server.
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

/// Checks the operator's key of a request.
///
/// Errors: 401 without a key in force.
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

fn page() -> usize {
    PAGE
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
