//! A caller's request after parsing, authentication and rate limiting.

use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use coord::id::Customer;
use coord::id::Program;
use http::HeaderMap;
use http::Method;
use http::Uri;
use tokio::time::Instant;

use crate::adapter::Call;
use crate::adapter::Target;
use crate::config::CustomerLimits;
use crate::config::Region;
use crate::config::RequestKind;
use crate::config::Route;
use crate::config::Service;
use crate::config::Version;
use crate::metrics::TurnTiming;

/// Shortest and longest delay before a caller retries at another entry.
const RETRY_DELAY_MS: std::ops::Range<u64> = 150..450;

/// A request with its route, service and deadline.
#[derive(Debug)]
pub struct Job {
    pub call: Call,
    pub route: Arc<Route>,
    pub service: Service,
    pub customer: Option<Arc<CustomerLimits>>,
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub received: Instant,
    /// The caller's deadline or the end of the route's timeout, whichever is earlier.
    pub deadline: Instant,
    /// Whether the request was passed on to a target.
    pub passed_on: Arc<AtomicBool>,
    /// Version of the configuration that the request was routed with.
    pub version: Version,
}

impl Job {
    /// Returns whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Stream(stream) => stream.resumable,
        }
    }

    /// Returns whether the request's answer is a stream that may be resumed.
    pub fn is_resumable(&self) -> bool {
        matches!(self.route.kind, RequestKind::Stream(stream) if stream.resumable)
    }

    /// Whether targets of a region may get the request: where route and customer both bound it, both
    /// must allow the region. None is the region of a data centre that the settings don't name.
    pub fn may_run_in(&self, region: Option<&Region>) -> bool {
        let homes = [
            Some(&self.route.homes),
            self.customer.as_ref().map(|customer| &customer.homes),
        ];
        let mut bounds = homes
            .into_iter()
            .flatten()
            .filter(|homes| !homes.is_empty());
        bounds.all(|homes| region.is_some_and(|region| homes.contains(region)))
    }

    /// Returns the customer that records of the request are stored under; a placeholder on routes
    /// without authentication.
    pub fn customer_name(&self) -> Customer {
        match &self.customer {
            Some(customer) => customer.name.clone(),
            None => placeholder(),
        }
    }

    /// Returns the program that the request belongs to; a placeholder if it belongs to none.
    pub fn program_name(&self) -> Program {
        match &self.call.program {
            Some(program) => program.clone(),
            None => placeholder(),
        }
    }

    /// Logs the request's outcome, the target that ran it and, for a turn, its timing.
    pub fn log_outcome(&self, outcome: &str, target: Option<&Target>, timing: Option<TurnTiming>) {
        let target_version = target.map_or("", Target::version_text);
        let target = target.map_or("", |target| target.id.as_str());
        let customer = self.customer.as_ref().map_or("", |c| c.name.as_str());
        let program = self.call.program.as_ref().map_or("", |p| p.as_str());
        let took_ms = self.received.elapsed().as_millis() as u64;
        let objective_ms = self.route.objective.as_millis() as u64;
        match timing {
            None => log::info!(
                step = "answer", peer = target, target_version = target_version, service = self.service.as_str(),
                request = self.call.request.as_str(), program = program, customer = customer,
                route = self.route.name.as_str(), version = self.version.0,
                took_ms = took_ms, objective_ms = objective_ms;
                "{outcome}"
            ),
            Some(timing) => log::info!(
                step = "answer", peer = target, target_version = target_version, service = self.service.as_str(),
                request = self.call.request.as_str(), program = program, customer = customer,
                route = self.route.name.as_str(), version = self.version.0,
                events = timing.events, sent_ms = timing.sent_ms,
                first_event_ms = timing.first_event_ms.unwrap_or(0),
                took_ms = took_ms, objective_ms = objective_ms;
                "{outcome}"
            ),
        }
    }
}

fn placeholder<T: FromStr>() -> T {
    match "_".parse() {
        Ok(name) => name,
        Err(_) => unreachable!("an underscore is a name"),
    }
}

/// Returns a random delay before a refused caller should retry, so that refused callers don't all
/// retry at once.
pub fn retry_delay() -> Duration {
    Duration::from_millis(rand::random_range(RETRY_DELAY_MS))
}
