//! The paths of the callers' HTTP interface.
//!
//! The server drops a handler when its caller leaves. That cancels idempotent work; the owner runs
//! everything else in a task of its own, so nothing that may not be repeated depends on a handler.

use std::sync::Arc;

use coord::refusal::Code;
use dropshot::Body;
use gateway::serve::header::detach;
use gateway::serve::intake::Claim;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use wire::Refusal;

use crate::callers::Answer;
use crate::callers::Callers;
use crate::refusal;
use crate::request;

const STEP: &str = "route";

/// Methods of plain routes.
const PLAIN_METHODS: [Method; 7] = [
    Method::GET,
    Method::HEAD,
    Method::OPTIONS,
    Method::POST,
    Method::PUT,
    Method::PATCH,
    Method::DELETE,
];

/// Answers one request; every refusal carries its code and whether the request ran.
pub async fn answer(
    callers: &Callers,
    request: Request<Incoming>,
    claim: Arc<Claim>,
) -> Response<Body> {
    callers.reply(handle(callers, request, claim)).await
}

async fn handle(callers: &Callers, request: Request<Incoming>, claim: Arc<Claim>) -> Answer {
    let (mut head, body) = request.into_parts();
    detach(&mut head);
    let body = request::Body::new(body, claim);
    let headers = &head.headers;
    let path: Vec<&str> = head.uri.path().split('/').skip(1).collect();
    match (path.as_slice(), &head.method) {
        (["v1", "chat", "completions"], &Method::POST) => callers.chat(headers, body).await,
        (["v1", "programs"], &Method::POST) => callers.open(headers, None, body).await,
        (["v1", "programs", parent, "children"], &Method::POST) => {
            callers.open(headers, Some(parent), body).await
        }
        (["v1", "programs", program], &Method::GET) => callers.show(headers, program, false).await,
        (["v1", "programs", program, "history"], &Method::GET) => {
            callers.show(headers, program, true).await
        }
        (["v1", "programs", program, "end"], &Method::POST) => callers.end(headers, program).await,
        (["v1", "models"], &Method::GET) => callers.models(headers),
        (["r", route, ..], method) if PLAIN_METHODS.contains(method) => {
            let sends_none = matches!(*method, Method::GET | Method::HEAD);
            let body = Some(body).filter(|_| !sends_none);
            callers.plain(&head, route, body).await
        }
        (path, _) => Err(no_such(path)),
    }
}

fn no_such(path: &[&str]) -> Refusal {
    let exists = matches!(
        path,
        ["v1", "chat", "completions"]
            | ["v1", "programs" | "models"]
            | ["v1", "programs", _]
            | ["v1", "programs", _, "children" | "history" | "end"]
            | ["r", _, ..]
    );
    match exists {
        true => refusal::not_run(Code::MethodNotAllowed, STEP, "not by this method"),
        false => refusal::not_run(Code::NotFound, STEP, "no such path"),
    }
}
