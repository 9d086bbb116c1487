//! Keeps a resumable stream at the software version that began it.
//!
//! The version is stored at the history hosts, together with the turn's reservation, before the
//! request is sent to a target. Until the first event is relayed the request may move to another
//! version, which is stored before the request is sent there. A caller that resumes the stream
//! names the request that brought the first event, so any entry can read the version. A stream whose
//! version isn't stored, or is ambiguous, isn't resumed.

use std::time::Duration;

use coord::id::SoftwareVersion;
use history::origin::Choice;
use history::origin::Origin;
use history::origin::State as Stored;
use history::record::Record;
use history::time::Timestamp;
use node::object::Kind;
use tokio::time::Instant;

use crate::adapter::Resumption;
use crate::adapter::Target;
use crate::config::Service;
use crate::error::Error;
use crate::metrics::HistoryCall;
use crate::serve::refusal::Refusal;
use crate::serve::refusal::Unresumable;
use crate::serve::request::Job;
use crate::serve::request::retry_delay;
use crate::state::State;

/// Time for which an origin is kept after its request's deadline.
const RETENTION: Duration = Duration::from_secs(30);

/// Age up to which a check of the targets serves a further resumption; many streams break together.
const MAX_AGE: Duration = Duration::from_millis(200);

/// Service and software version of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    pub service: Service,
    pub version: SoftwareVersion,
}

/// Returns where the stream began that a request resumes, once this entry knows which versions its
/// targets run now.
///
/// Errors: it isn't known, or the history or the registrations can't be read.
pub async fn find(
    state: &State,
    job: &Job,
    resumption: &Resumption,
    deadline: Instant,
) -> Result<Source, Refusal> {
    let (source, ()) = tokio::try_join!(
        read(state, job, resumption, deadline),
        check_targets(state, deadline)
    )?;
    Ok(source)
}

/// Waits until this entry has asked the object store for changes of targets: one may have restarted
/// under its id with another version while this entry was out of touch.
///
/// Errors: the object store doesn't answer.
pub async fn check_targets(state: &State, deadline: Instant) -> Result<(), Refusal> {
    let now = Instant::now();
    let since = now.checked_sub(MAX_AGE).unwrap_or(now);
    let checked = state.freshness.checked_since(Kind::Targets, since);
    let is_checked =
        !state.is_object_store_lost() && tokio::time::timeout_at(deadline, checked).await.is_ok();
    match is_checked {
        true => Ok(()),
        false => Err(Refusal::Unavailable {
            cause: "the software versions of the targets aren't known now".to_owned(),
            retry: retry_delay(),
        }),
    }
}

/// Checks, before an entry goes on with a stream, that the target that began it was known.
///
/// Errors: it has restarted, maybe before it began the stream, or the object store doesn't answer.
pub async fn check_began(state: &State, target: &Target, deadline: Instant) -> Result<(), Refusal> {
    check_targets(state, deadline).await?;
    match state.is_superseded(target) {
        true => Err(Refusal::Lost(
            "the target that began the stream has restarted".to_owned(),
        )),
        false => Ok(()),
    }
}

/// Reads where the stream began that a request resumes.
///
/// Errors: it isn't known, or the history can't be read.
async fn read(
    state: &State,
    job: &Job,
    resumption: &Resumption,
    deadline: Instant,
) -> Result<Source, Refusal> {
    let stored = match &resumption.first_request {
        Some(request) => {
            let customer = job.customer_name();
            let started = Instant::now();
            let stored = state.history.origin(&customer, request, deadline).await;
            state
                .instruments
                .record_history_call(HistoryCall::Origin, started.elapsed());
            stored.map_err(|error| Refusal::history_unavailable(&error))?
        }
        None => None,
    };
    log_resumption(job, resumption, stored.as_ref());
    let source = match stored {
        Some(Stored::Chosen(choice)) => Source {
            service: choice.service,
            version: choice.version,
        },
        // That only one version is known now doesn't show that another one didn't begin the stream: its
        // targets may have left before this entry started.
        Some(Stored::Ambiguous) | None => {
            return Err(Refusal::NotResumable(Unresumable::OriginUnknown));
        }
    };
    let is_served = job
        .route
        .shares
        .iter()
        .any(|share| share.service == source.service);
    match is_served {
        true => Ok(source),
        false => Err(Refusal::NotResumable(Unresumable::VersionGone(
            source.version,
        ))),
    }
}

fn log_resumption(job: &Job, resumption: &Resumption, stored: Option<&Stored>) {
    let first_request = resumption.first_request.as_ref();
    let (origin, choice) = match (first_request, stored) {
        (None, _) => ("first request isn't named", None),
        (Some(_), None) => ("not stored", None),
        (Some(_), Some(Stored::Ambiguous)) => ("ambiguous", None),
        (Some(_), Some(Stored::Chosen(choice))) => ("stored", Some(choice)),
    };
    log::info!(
        step = "resume", peer = "caller", request = job.call.request.as_str(),
        program = job.call.program.as_ref().map_or("", |program| program.as_str()),
        route = job.route.name.as_str(),
        first_request = first_request.map_or("", |request| request.as_str()),
        last_event = resumption.last_event.as_deref().unwrap_or(""),
        origin = origin,
        service = choice.map_or("", |choice| choice.service.as_str()),
        target_version = choice.map_or("", |choice| choice.version.as_str());
        "caller resumes a stream"
    );
}

/// Returns the origin to store before a request is sent to a target; none if the target's version
/// isn't known.
pub fn chosen(job: &Job, target: &Target) -> Option<Origin> {
    let version = target.version.clone()?;
    Some(Origin {
        customer: job.customer_name(),
        request: job.call.request.clone(),
        state: Stored::Chosen(Choice {
            relay: rand::random(),
            number: 0,
            service: job.service.clone(),
            version,
        }),
        expires: Timestamp::now()
            .after(job.deadline.saturating_duration_since(Instant::now()) + RETENTION),
    })
}

/// Stores the origin of a request.
///
/// Errors: it can't be stored in time; the request must not be sent.
pub async fn store(
    state: &State,
    job: &Job,
    origin: &Origin,
    deadline: Instant,
) -> Result<(), Error> {
    let placement = match &job.call.program {
        Some(program) => program.as_str(),
        None => origin.request.as_str(),
    };
    let records = vec![Record::Origin(origin.clone())];
    let stored = state.history.append(records, placement, deadline).await;
    stored
        .map(|_| ())
        .map_err(|error| Error::NotRun(format!("software version can't be stored: {error}")))
}

/// Returns the origin to store before a request that has brought no event is sent to another target;
/// none if the stored one holds for it too.
pub fn moved(job: &Job, stored: Option<&Origin>, target: &Target) -> Option<Origin> {
    let Some(stored) = stored else {
        return chosen(job, target);
    };
    let state = match (&stored.state, &target.version) {
        (Stored::Chosen(choice), Some(version)) if choice.version == *version => return None,
        (Stored::Chosen(choice), Some(version)) => Stored::Chosen(Choice {
            number: choice.number + 1,
            version: version.clone(),
            ..choice.clone()
        }),
        (Stored::Ambiguous, _) => return None,
        (Stored::Chosen(_), None) => Stored::Ambiguous,
    };
    Some(Origin {
        state,
        ..stored.clone()
    })
}

/// Returns the origin to store for a request whose target may have run it at another version than
/// the stored one.
pub fn ambiguous(stored: &Origin) -> Origin {
    Origin {
        state: Stored::Ambiguous,
        ..stored.clone()
    }
}
