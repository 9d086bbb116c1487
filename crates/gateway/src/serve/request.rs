//! A caller's request once it is understood and let in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;
use tokio::time::Instant;

use crate::config::CustomerLimits;
use crate::config::Route;
use crate::config::Service;
use crate::config::Version;
use crate::config::Work;
use crate::edge::Call;
use crate::metrics::Timing;

/// Shortest and longest time after which a caller comes back to another entry.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 150..450;

/// A request, where it goes and until when.
#[derive(Debug)]
pub struct Job {
    pub call: Call,
    pub route: Arc<Route>,
    pub service: Service,
    pub customer: Option<Arc<CustomerLimits>>,
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The caller's body.
    pub body: Bytes,
    pub received: Instant,
    /// The caller's deadline or the route's timeout, whichever is first.
    pub deadline: Instant,
    /// The configuration that decided.
    pub version: Version,
}

impl Job {
    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route.work {
            Work::Idempotent => true,
            Work::NonIdempotent => false,
            Work::Stream(stream) => stream.resumable,
        }
    }

    /// Logs how the request ended, and at which target.
    pub fn log_end(&self, outcome: &str, target: &str, turn: Option<Timing>) {
        let customer = self.customer.as_ref().map_or("", |c| c.name.as_str());
        let program = self.call.program.as_ref().map_or("", |p| p.as_str());
        let took_ms = self.received.elapsed().as_millis() as u64;
        let objective_ms = self.route.objective.as_millis() as u64;
        match turn {
            None => log::info!(
                step = "answer", peer = target, service = self.service.as_str(),
                request = self.call.request.as_str(), program = program, customer = customer,
                route = self.route.name.as_str(), version = self.version.0,
                took_ms = took_ms, objective_ms = objective_ms;
                "{outcome}"
            ),
            Some(turn) => log::info!(
                step = "answer", peer = target, service = self.service.as_str(),
                request = self.call.request.as_str(), program = program, customer = customer,
                route = self.route.name.as_str(), version = self.version.0,
                events = turn.events, sent_ms = turn.sent_ms,
                first_event_ms = turn.first_event_ms.unwrap_or(0),
                took_ms = took_ms, objective_ms = objective_ms;
                "{outcome}"
            ),
        }
    }
}

/// When a caller that was turned away should come back; spread, so that not all come at once.
pub fn retry_pause() -> Duration {
    Duration::from_millis(rand::random_range(RETRY_PAUSE_MS))
}
