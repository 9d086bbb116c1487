//! What a sidecar is told of an attempt: the work, whose it is and until when it may start and run.

use std::time::Duration;
use std::time::Instant;

use wire::Start;
use wire::start;

use crate::call::Call;
use crate::job::Job;
use crate::job::Work;
use crate::lease::Authority;
use crate::run::Attempt;

/// Time beyond the deadline for work that can't be repeated to be answered and recorded.
pub const LINGER: Duration = Duration::from_secs(60);

/// The first message of an attempt.
pub fn start(call: &Call, job: &Job, attempt: &Attempt) -> Start {
    let Attempt { authority, .. } = attempt;
    let config = call.member.config();
    let weight = config.customer(&job.customer);
    let program = job.program.as_ref();
    Start {
        attempt: attempt.name.to_string(),
        node: call.member.node().to_string(),
        shard: job.shard.0.into(),
        epoch: authority.epoch.0,
        customer: job.customer.to_string(),
        weight: weight.map_or(1, |customer| customer.weight),
        program: program.map(ToString::to_string).unwrap_or_default(),
        attained: attempt.attained.0,
        idempotent: job.idempotent,
        fingerprint: job.fingerprint(),
        start_by_ms: millis(start_by(authority, job)),
        deadline_ms: millis(time_to_run(job)),
        prompt_tokens: attempt.prompt.0,
        alone: attempt.alone,
        work: Some(work(job, attempt)),
    }
}

fn work(job: &Job, attempt: &Attempt) -> start::Work {
    match &job.work {
        Work::Plain(plain) => start::Work::Plain(plain.clone()),
        Work::Chat {
            model, max_tokens, ..
        } => start::Work::Generate(wire::Generate {
            model: model.to_string(),
            messages: attempt.messages.clone(),
            max_tokens: *max_tokens,
            keep: job.program.is_some(),
        }),
    }
}

/// How long from now the work may run.
fn time_to_run(job: &Job) -> Duration {
    match job.idempotent {
        true => job.left(),
        false => job.left() + LINGER,
    }
}

/// How long from now the work may start.
pub fn start_by(authority: &Authority, job: &Job) -> Duration {
    let authority = authority.until.saturating_duration_since(Instant::now());
    authority.min(job.left())
}

/// Milliseconds for a sidecar, to which 0 stands for no limit.
fn millis(length: Duration) -> u64 {
    (length.as_millis() as u64).max(1)
}
