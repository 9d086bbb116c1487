//! Notices targets that crashed under a request; who is refused is [`sched::suspect`]'s decision.

use std::sync::Arc;
use std::time::Duration;

use coord::id::fingerprint;
use tokio::net::TcpStream;

use crate::edge::Target;
use crate::serve::request::Job;
use crate::state::State;

/// Time for a crashed target's host to close its port.
const SETTLE: Duration = Duration::from_millis(40);

/// Time for a connection to a target that still runs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Name of a request by its caller and content.
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

/// Finds out whether a target that gave no answer has crashed, and notes the request if so.
pub fn detect_crash(state: &Arc<State>, target: &Target, job: &Job) {
    let state = Arc::clone(state);
    let target = target.clone();
    let request = request_fingerprint(job);
    let id = job.call.request.clone();
    tokio::spawn(async move {
        tokio::time::sleep(SETTLE).await;
        let connected = TcpStream::connect(target.address);
        let runs = tokio::time::timeout(CONNECT_TIMEOUT, connected).await;
        if matches!(runs, Ok(Ok(_))) {
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
