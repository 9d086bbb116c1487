//! Runs one generation at a model engine and passes its text on as it comes.
//!
//! A stream that breaks midway is resumed where it broke. When that fails, the attempt ends as
//! broken: an answer counts as whole only after the engine's own end mark.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coord::id::Attempt;
use coord::id::Tokens;
use coord::refusal::Code;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::IgnoredAny;
use wire::Done;
use wire::Generate;
use wire::Ran;

use crate::event;
use crate::event::Decoder;
use crate::event::Event;
use crate::frame::Outcome;
use crate::frame::Output;
use crate::health::Run;
use crate::key;
use crate::meter::Sample;
use crate::part::Part;
use crate::part::Usage;
use crate::queue::Permit;
use crate::refusal;
use crate::settings::Limits;
use crate::upstream;
use crate::upstream::Upstream;

/// Tries to resume a broken stream.
const RESUMES: u32 = 4;

/// Pause before a try to resume.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// What the engine calls an answer that was cut short by a cancel.
const CANCELLED: &str = "cancelled";

/// Where a generation runs and what bounds it.
#[derive(Debug)]
pub struct Job<'a> {
    pub upstream: &'a Upstream,
    pub limits: &'a Limits,
    pub run: &'a Run,
    pub attempt: &'a Attempt,
    pub output: &'a Output,
    pub permit: &'a Permit,
}

/// Why a stream stopped before its end.
#[derive(Debug)]
enum Break {
    /// Worth resuming.
    Broken(String),
    /// Larger than allowed.
    TooLarge,
}

#[derive(Debug)]
struct Progress {
    sent: Instant,
    first: Option<Instant>,
    offset: usize,
    usage: Usage,
    finish: Option<String>,
}

/// The engine's request for a generation.
///
/// Errors: the messages are no JSON array, or hold a caller's key.
pub fn body(work: &Generate, attempt: &Attempt, program: &str) -> Result<Bytes, &'static str> {
    let parsed: Result<Vec<IgnoredAny>, _> = serde_json::from_slice(&work.messages);
    parsed.map_err(|_| "the messages are no JSON array")?;
    if key::is_in(&work.messages) {
        return Err("the messages hold a caller's key");
    }
    let rest = serde_json::json!({
        "model": work.model,
        "max_tokens": work.max_tokens,
        "stream": true,
        "request_id": attempt.as_str(),
        "priority": 0,
        "program": program,
    });
    let mut body = rest.to_string().into_bytes();
    body.pop();
    body.extend_from_slice(b",\"messages\":");
    body.extend_from_slice(&work.messages);
    body.push(b'}');
    Ok(body.into())
}

/// Runs a generation to its end; the second part is set for a whole answer.
pub async fn run(job: Job<'_>, body: Bytes) -> (Outcome, Option<Sample>) {
    let mut progress = Progress {
        sent: Instant::now(),
        first: None,
        offset: 0,
        usage: Usage::default(),
        finish: None,
    };
    let started = job.within_silence(job.upstream.generate(body)).await;
    let mut followed = match started {
        Ok(response) => job.follow(response, &mut progress).await,
        Err(error) => match not_run(&error) {
            Some(outcome) => return (outcome, None),
            None => Err(Break::Broken(error.to_string())),
        },
    };
    for _ in 0..RESUMES {
        let Err(Break::Broken(cause)) = followed else {
            break;
        };
        log::debug!(step = "generate", peer = job.attempt.as_str(); "stream broke: {cause}");
        if let Some(crashed) = job.run.crash().await {
            return (Outcome::Crashed(crashed), None);
        }
        tokio::time::sleep(RESUME_DELAY).await;
        followed = job.resume(&mut progress, cause).await;
    }
    match followed {
        Ok(()) => progress.outcome(),
        Err(Break::TooLarge) => (too_large(), None),
        Err(Break::Broken(cause)) => (job.broken(cause, progress.offset).await, None),
    }
}

impl Job<'_> {
    async fn follow(
        &self,
        response: Response<Incoming>,
        progress: &mut Progress,
    ) -> Result<(), Break> {
        let mut body = response.into_body();
        let mut decoder = Decoder::default();
        loop {
            while let Some(event) = decoder.decode().map_err(broken)? {
                match event {
                    Event::Part(part) => self.pass_on(part, progress).await?,
                    Event::End if progress.finish.is_some() => return Ok(()),
                    Event::End => return Err(Break::Broken("no finish reason".to_owned())),
                }
            }
            let silence = crate::clock::duration(self.limits.silence_ms);
            match tokio::time::timeout(silence, body.frame()).await {
                Ok(Some(Ok(frame))) => decoder.push(frame.data_ref().map_or(&[], Bytes::as_ref)),
                Ok(Some(Err(error))) => return Err(Break::Broken(error.to_string())),
                Ok(None) => return Err(Break::Broken("ended without a mark".to_owned())),
                Err(_) => return Err(Break::Broken("silent".to_owned())),
            }
        }
    }

    async fn pass_on(&self, part: Part, progress: &mut Progress) -> Result<(), Break> {
        if part.request != self.attempt.as_str() {
            return Err(Break::Broken("another request's part".to_owned()));
        }
        progress.usage = part.usage.unwrap_or(progress.usage);
        progress.finish = part.finish.or(progress.finish.take());
        if part.content.is_empty() {
            return Ok(());
        }
        if progress.first.is_none() {
            progress.first = Some(Instant::now());
            self.permit.prefilled();
        }
        progress.offset += part.content.len();
        if progress.offset > self.limits.answer_bytes {
            return Err(Break::TooLarge);
        }
        self.output.chunk(part.content.into()).await;
        Ok(())
    }

    async fn resume(&self, progress: &mut Progress, cause: String) -> Result<(), Break> {
        progress.finish = None;
        let resumed = self.upstream.resume(self.attempt.as_str(), progress.offset);
        match resumed.await {
            Ok(response) => self.follow(response, progress).await,
            Err(error) => Err(Break::Broken(format!("{cause}; {error}"))),
        }
    }

    async fn within_silence<T>(
        &self,
        work: impl Future<Output = Result<T, upstream::Error>>,
    ) -> Result<T, upstream::Error> {
        let silence = crate::clock::duration(self.limits.silence_ms);
        let result = tokio::time::timeout(silence, work).await;
        result.unwrap_or(Err(upstream::Error::Timeout))
    }

    async fn broken(&self, cause: String, offset: usize) -> Outcome {
        if let Some(crashed) = self.run.crash().await {
            return Outcome::Crashed(crashed);
        }
        // Nobody will read the rest, if the engine still computes it.
        let _ = self.upstream.cancel(self.attempt.as_str()).await;
        let message = format!("the answer broke off: {cause}");
        let refusal = match offset {
            0 => refusal::new(Code::OutcomeUnknown, Ran::Unknown, message),
            _ => refusal::new(Code::Broken, Ran::Yes, message),
        };
        Outcome::Refused(refusal)
    }
}

impl Progress {
    fn outcome(self) -> (Outcome, Option<Sample>) {
        let finish = self.finish.unwrap_or_default();
        if finish == CANCELLED {
            let refusal = refusal::new(Code::Broken, Ran::Yes, "cancelled at the engine");
            return (Outcome::Refused(refusal), None);
        }
        let first = self.first.unwrap_or_else(Instant::now);
        let sample = Sample {
            prompt: Tokens(self.usage.prompt_tokens),
            cached: Tokens(self.usage.cached_tokens),
            completion: Tokens(self.usage.completion_tokens),
            first: first.duration_since(self.sent),
            rest: first.elapsed(),
        };
        let done = Done {
            prompt_tokens: self.usage.prompt_tokens,
            cached_tokens: self.usage.cached_tokens,
            completion_tokens: self.usage.completion_tokens,
            finish,
            replayed: false,
        };
        (Outcome::Done(done), Some(sample))
    }
}

/// The outcome of a request that the engine certainly didn't run, if so.
fn not_run(error: &upstream::Error) -> Option<Outcome> {
    let code = match error {
        upstream::Error::Unsent(_) => Code::Unavailable,
        upstream::Error::Status(status) => match *status {
            StatusCode::NOT_FOUND
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE => Code::Unavailable,
            StatusCode::PAYLOAD_TOO_LARGE => Code::TooLarge,
            status if status.is_client_error() => Code::BadRequest,
            _ => return None,
        },
        upstream::Error::Broken(_) | upstream::Error::Timeout => return None,
    };
    let refusal = refusal::new(code, Ran::No, format!("the engine refused: {error}"));
    Some(Outcome::Refused(refusal))
}

fn too_large() -> Outcome {
    let refusal = refusal::new(Code::TooLarge, Ran::Yes, "the answer is too large");
    Outcome::Refused(refusal)
}

fn broken(error: event::Error) -> Break {
    Break::Broken(error.to_string())
}
