//! The operators' interface: tickets, beside the calls that every daemon answers.

use std::net::SocketAddr;
use std::sync::Arc;

use coord::config::Change;
use coord::id::Ticket;
use dropshot::ApiDescription;
use dropshot::ClientErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::endpoint;
use http::Response;
use http::StatusCode;
use node::admin;
use node::admin::Page;
use node::admin::Source;
use node::admin::authorize;
use node::metrics::Metrics;
use node::operator::Operator;
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::json;

use crate::admission::Admission;
use crate::dump;
use crate::member::Member;
use crate::tickets;
use crate::tickets::Verdict;

/// Time after which a ticket that the platform didn't take is worth another try, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// What operators see of an entry.
pub struct Operators {
    pub member: Arc<Member>,
    pub admission: Arc<Admission>,
    pub metrics: Arc<Metrics>,
}

impl Source for Operators {
    fn dump(&self, page: &Page) -> serde_json::Value {
        dump::state(&self.member, &self.admission, page)
    }

    fn healthy(&self) -> bool {
        self.member.serves()
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn operators(&self) -> &[Operator] {
        &self.member.settings().operators
    }
}

/// Starts the operators' server.
///
/// Errors: the address can't be bound.
pub fn serve(operators: Operators, address: SocketAddr) -> eyre::Result<HttpServer<Operators>> {
    let mut api: ApiDescription<Operators> = admin::api_description();
    api.register(put_ticket)
        .map_err(|error| eyre::eyre!("{error}"))?;
    api.register(get_ticket)
        .map_err(|error| eyre::eyre!("{error}"))?;
    admin::serve(address, api, operators)
}

/// A ticket's number in the path.
#[derive(Debug, Deserialize, JsonSchema)]
struct Number {
    number: u64,
}

/// Puts a ticket in force.
#[endpoint { method = PUT, path = "/v1/tickets/{number}" }]
async fn put_ticket(
    request: RequestContext<Operators>,
    path: Path<Number>,
    body: TypedBody<serde_json::Value>,
) -> Result<Response<dropshot::Body>, HttpError> {
    let operators = request.context();
    authorize(operators.operators(), request.request.headers())?;
    let change = parse(body.into_inner(), path.into_inner().number)?;
    let verdict = tickets::put(&operators.member, change).await;
    answer(verdict)
}

/// Shows a ticket.
#[endpoint { method = GET, path = "/v1/tickets/{number}" }]
async fn get_ticket(
    request: RequestContext<Operators>,
    path: Path<Number>,
) -> Result<Response<dropshot::Body>, HttpError> {
    let operators = request.context();
    authorize(operators.operators(), request.request.headers())?;
    let number = Ticket(path.into_inner().number);
    match tickets::get(&operators.member, number).await {
        Ok(Some(change)) => reply(StatusCode::OK, json!(change), None),
        Ok(None) => reply(StatusCode::NOT_FOUND, json!({ "code": "not-found" }), None),
        Err(error) => {
            let body = json!({ "code": "unavailable", "message": error.to_string() });
            reply(StatusCode::SERVICE_UNAVAILABLE, body, Some(RETRY_AFTER_S))
        }
    }
}

fn parse(body: serde_json::Value, number: u64) -> Result<Change, HttpError> {
    let change: Change = serde_json::from_value(body).map_err(|error| bad(error.to_string()))?;
    match change.number {
        Ticket(other) if other != number => Err(bad(format!(
            "the path says ticket {number}, the body {other}"
        ))),
        Ticket(0) => Err(bad("ticket numbers start at 1".to_owned())),
        _ => Ok(change),
    }
}

fn bad(message: String) -> HttpError {
    let code = Some("bad-request".to_owned());
    HttpError::for_client_error(code, ClientErrorStatusCode::BAD_REQUEST, message)
}

fn answer(verdict: Verdict) -> Result<Response<dropshot::Body>, HttpError> {
    let body = json!({ "verdict": verdict });
    match verdict {
        Verdict::Accepted => reply(StatusCode::OK, body, None),
        Verdict::Superseded | Verdict::Conflict => reply(StatusCode::CONFLICT, body, None),
        Verdict::NotAccepted | Verdict::Unknown => {
            reply(StatusCode::SERVICE_UNAVAILABLE, body, Some(RETRY_AFTER_S))
        }
    }
}

fn reply(
    status: StatusCode,
    body: serde_json::Value,
    retry_after_s: Option<u64>,
) -> Result<Response<dropshot::Body>, HttpError> {
    let mut response = Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json");
    if let Some(seconds) = retry_after_s {
        response = response.header(http::header::RETRY_AFTER, seconds);
    }
    response
        .body(body.to_string().into())
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
