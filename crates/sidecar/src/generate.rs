//! Runs one generation at a model engine and streams its text to the caller.
//!
//! An interrupted stream is resumed at the offset reached. If that fails, the attempt ends as
//! broken: an answer is complete only after a finish reason and the engine's `[DONE]` event.

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
use crate::frame::FrameSender;
use crate::frame::Outcome;
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

/// Maximum number of attempts to resume an interrupted stream.
const MAX_RESUMES: u32 = 4;

/// Delay before each attempt to resume.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// The engine's finish reason for a cancelled generation.
const CANCELLED: &str = "cancelled";

/// Context of one generation: target, limits and receiver of the answer.
#[derive(Debug)]
pub struct Job<'a> {
    pub upstream: &'a Upstream,
    pub limits: &'a Limits,
    pub run: &'a Run,
    pub attempt: &'a Attempt,
    pub output: &'a FrameSender,
    pub permit: &'a Permit,
}

/// Why a stream ended early.
#[derive(Debug)]
enum StreamError {
    /// The stream may be resumed.
    Interrupted(String),
    /// The answer exceeds the size limit.
    TooLarge,
}

/// Progress of a generation across resumed streams.
#[derive(Debug)]
struct Progress {
    sent_at: Instant,
    first_token_at: Option<Instant>,
    /// Bytes of text received.
    offset: usize,
    usage: Usage,
    finish_reason: Option<String>,
}

/// Builds the engine's request body; `messages` are copied unchanged.
///
/// Errors: the messages aren't a JSON array, or contain a caller's key.
pub fn request_body(
    work: &Generate,
    attempt: &Attempt,
    program: &str,
) -> Result<Bytes, &'static str> {
    let parsed: Result<Vec<IgnoredAny>, _> = serde_json::from_slice(&work.messages);
    parsed.map_err(|_| "the messages aren't a JSON array")?;
    if key::contains_key(&work.messages) {
        return Err("the messages contain a caller's key");
    }
    let parameters = serde_json::json!({
        "model": work.model,
        "max_tokens": work.max_tokens,
        "stream": true,
        "request_id": attempt.as_str(),
        "priority": 0,
        "program": program,
    });
    let mut body = parameters.to_string().into_bytes();
    body.pop();
    body.extend_from_slice(b",\"messages\":");
    body.extend_from_slice(&work.messages);
    body.push(b'}');
    Ok(body.into())
}

/// Runs a generation to its end; returns a sample only for a complete answer.
pub async fn run(job: Job<'_>, body: Bytes) -> (Outcome, Option<Sample>) {
    let mut progress = Progress {
        sent_at: Instant::now(),
        first_token_at: None,
        offset: 0,
        usage: Usage::default(),
        finish_reason: None,
    };
    let started = job.with_silence_timeout(job.upstream.generate(body)).await;
    let mut streamed = match started {
        Ok(response) => job.read_stream(response, &mut progress).await,
        Err(error) => match rejection(&error) {
            Some(outcome) => return (outcome, None),
            None => Err(StreamError::Interrupted(error.to_string())),
        },
    };
    for _ in 0..MAX_RESUMES {
        let Err(StreamError::Interrupted(cause)) = streamed else {
            break;
        };
        log::debug!(step = "generate", peer = job.attempt.as_str(); "stream broke: {cause}");
        if let Some(crashed) = job.run.detect_crash().await {
            return (Outcome::Crashed(crashed), None);
        }
        tokio::time::sleep(RESUME_DELAY).await;
        streamed = job.resume(&mut progress, cause).await;
    }
    match streamed {
        Ok(()) => progress.outcome(),
        Err(StreamError::TooLarge) => (too_large_outcome(), None),
        Err(StreamError::Interrupted(cause)) => {
            (job.interrupted_outcome(cause, progress.offset).await, None)
        }
    }
}

impl Job<'_> {
    async fn read_stream(
        &self,
        response: Response<Incoming>,
        progress: &mut Progress,
    ) -> Result<(), StreamError> {
        let mut body = response.into_body();
        let mut decoder = Decoder::default();
        loop {
            while let Some(event) = decoder.decode().map_err(decode_error)? {
                match event {
                    Event::Part(part) => self.forward(part, progress).await?,
                    Event::Done if progress.finish_reason.is_some() => return Ok(()),
                    Event::Done => {
                        return Err(StreamError::Interrupted(
                            "the stream ended without a finish reason".to_owned(),
                        ));
                    }
                }
            }
            let silence = crate::clock::duration(self.limits.silence_ms);
            match tokio::time::timeout(silence, body.frame()).await {
                Ok(Some(Ok(frame))) => decoder.push(frame.data_ref().map_or(&[], Bytes::as_ref)),
                Ok(Some(Err(error))) => return Err(StreamError::Interrupted(error.to_string())),
                Ok(None) => {
                    return Err(StreamError::Interrupted(
                        "the connection closed before the end of the stream".to_owned(),
                    ));
                }
                Err(_) => return Err(StreamError::Interrupted("no data in time".to_owned())),
            }
        }
    }

    async fn forward(&self, part: Part, progress: &mut Progress) -> Result<(), StreamError> {
        if part.request_id != self.attempt.as_str() {
            return Err(StreamError::Interrupted(
                "the stream contains a chunk of another request".to_owned(),
            ));
        }
        progress.usage = part.usage.unwrap_or(progress.usage);
        progress.finish_reason = part.finish_reason.or(progress.finish_reason.take());
        if part.content.is_empty() {
            return Ok(());
        }
        if progress.first_token_at.is_none() {
            progress.first_token_at = Some(Instant::now());
            self.permit.mark_prefilled();
        }
        progress.offset += part.content.len();
        if progress.offset > self.limits.answer_bytes {
            return Err(StreamError::TooLarge);
        }
        self.output.send_chunk(part.content.into()).await;
        Ok(())
    }

    async fn resume(&self, progress: &mut Progress, cause: String) -> Result<(), StreamError> {
        progress.finish_reason = None;
        let resumed = self.upstream.resume(self.attempt.as_str(), progress.offset);
        match resumed.await {
            Ok(response) => self.read_stream(response, progress).await,
            Err(error) => Err(StreamError::Interrupted(format!("{cause}; {error}"))),
        }
    }

    async fn with_silence_timeout<T>(
        &self,
        work: impl Future<Output = Result<T, upstream::Error>>,
    ) -> Result<T, upstream::Error> {
        let silence = crate::clock::duration(self.limits.silence_ms);
        let result = tokio::time::timeout(silence, work).await;
        result.unwrap_or(Err(upstream::Error::Timeout))
    }

    async fn interrupted_outcome(&self, cause: String, offset: usize) -> Outcome {
        if let Some(crashed) = self.run.detect_crash().await {
            return Outcome::Crashed(crashed);
        }
        // Stops the engine from generating text that nobody reads; a failure is ignored, as it only
        // costs engine time.
        let _ = self.upstream.cancel(self.attempt.as_str()).await;
        let message = format!("the answer was interrupted: {cause}");
        let refusal = match offset {
            0 => refusal::new(Code::OutcomeUnknown, Ran::Unknown, message),
            _ => refusal::new(Code::Broken, Ran::Yes, message),
        };
        Outcome::Refused(refusal)
    }
}

impl Progress {
    fn outcome(self) -> (Outcome, Option<Sample>) {
        let finish = self.finish_reason.unwrap_or_default();
        if finish == CANCELLED {
            let refusal = refusal::new(Code::Broken, Ran::Yes, "cancelled at the engine");
            return (Outcome::Refused(refusal), None);
        }
        let first_token_at = self.first_token_at.unwrap_or_else(Instant::now);
        let sample = Sample {
            prompt: Tokens(self.usage.prompt_tokens),
            cached: Tokens(self.usage.cached_tokens),
            completion: Tokens(self.usage.completion_tokens),
            time_to_first_token: first_token_at.duration_since(self.sent_at),
            decode_time: first_token_at.elapsed(),
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

/// Returns a refusal if the error proves that the engine didn't run the request.
fn rejection(error: &upstream::Error) -> Option<Outcome> {
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
    let refusal = refusal::new(
        code,
        Ran::No,
        format!("the engine didn't accept the request: {error}"),
    );
    Some(Outcome::Refused(refusal))
}

fn too_large_outcome() -> Outcome {
    let refusal = refusal::new(Code::TooLarge, Ran::Yes, "the answer is too large");
    Outcome::Refused(refusal)
}

fn decode_error(error: event::Error) -> StreamError {
    StreamError::Interrupted(error.to_string())
}
