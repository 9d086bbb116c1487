//! Detects targets that crashed while they ran a request. [`sched::suspect`] decides which requests
//! are refused afterwards.

use std::sync::Arc;
use std::time::Duration;

use coord::id::fingerprint;
use tokio::net::TcpStream;

use crate::adapter::Target;
use crate::serve::request::Job;
use crate::state::State;

/// Time until a crashed target's host has closed its port.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(40);

/// Time within which a running target accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Fingerprint of a request's customer, method, path and body.
pub fn request_fingerprint(job: &Job) -> u64 {
    let customer = job.customer.as_ref().map_or("", |c| c.name.as_str());
    let path = job.uri.path_and_query().map_or("", |path| path.as_str());
    fingerprint(&[
        customer.as_bytes(),
        job.method.as_str().as_bytes(),
        path.as_bytes(),
        &job.body,
    ])
}

/// Checks in the background whether a target that didn't answer has crashed, and if so records the
/// request as in flight at the crash. A target that accepts no new connection counts as crashed.
pub fn detect_crash(state: &Arc<State>, target: &Target, job: &Job) {
    let state = Arc::clone(state);
    let target = target.clone();
    let request = request_fingerprint(job);
    let id = job.call.request.clone();
    tokio::spawn(async move {
        tokio::time::sleep(PORT_CLOSE_DELAY).await;
        let connecting = TcpStream::connect(target.address);
        let probe = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        if matches!(probe, Ok(Ok(_))) {
            return;
        }
        let born = target.born.unwrap_or(0).to_be_bytes();
        let crash = fingerprint(&[target.id.as_bytes(), &born]);
        log::warn!(
            step = "send", peer = target.id.as_str(), request = id.as_str(), crash = crash;
            "target crashed while it ran the request"
        );
        let now = state.time();
        state.suspects.lock().record_crash(request, crash, now);
    });
}
