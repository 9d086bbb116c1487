//! A program's history: one segment per step, linked into a hash chain.
//!
//! A missing or altered segment, or one of another program, breaks the chain. A history is
//! therefore returned only if it is complete and belongs to the program.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

use crate::id::Program;
use crate::id::Step;
use crate::record::Answer;

const SUCCESS: std::ops::Range<u16> = 200..300;

/// Hash of a history up to and including one segment.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link([u8; 32]);

impl Link {
    /// Start of a program's chain; differs for each program.
    pub fn start(program: &Program) -> Link {
        let mut hash = Sha256::new();
        hash.update(program.as_str().as_bytes());
        Link(hash.finalize().into())
    }
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Messages and answer that one step adds to the history.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    pub previous: Link,
    pub step: Step,
    /// Hash of the request.
    pub content: u64,
    /// New messages, as a JSON array; empty for a call to a plain service, one that isn't a model
    /// engine.
    #[serde(with = "crate::bytes")]
    pub input: Vec<u8>,
    /// `None` if the outcome is unknown.
    pub answer: Option<Arc<Answer>>,
    pub link: Link,
}

impl Segment {
    /// Creates the segment of a step that follows `previous`.
    pub fn new(
        previous: Link,
        step: Step,
        content: u64,
        input: Vec<u8>,
        answer: Option<Arc<Answer>>,
    ) -> Segment {
        let segment = Segment {
            previous,
            step,
            content,
            input,
            answer,
            link: previous,
        };
        let link = segment.digest();
        Segment { link, ..segment }
    }

    fn digest(&self) -> Link {
        let mut hash = Sha256::new();
        hash.update(self.previous.0);
        hash.update(self.step.0.to_be_bytes());
        hash.update(self.content.to_be_bytes());
        hash.update((self.input.len() as u64).to_be_bytes());
        hash.update(&self.input);
        if let Some(answer) = &self.answer {
            hash.update(answer.status.to_be_bytes());
            hash.update(&answer.body);
        }
        Link(hash.finalize().into())
    }

    /// Returns the answer if it is part of the conversation: a success of a step with messages.
    fn conversation_answer(&self) -> Option<&Answer> {
        let answer = self.answer.as_deref();
        answer.filter(|answer| !self.input.is_empty() && SUCCESS.contains(&answer.status))
    }
}

/// Why a history can't be returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Corruption {
    /// A segment is missing, altered or of another program.
    Chain(Step),
    /// A segment's messages can't be parsed.
    Messages(Step),
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Corruption::Chain(step) => write!(f, "history hash chain is broken at step {step}"),
            Corruption::Messages(step) => {
                write!(f, "history messages can't be parsed at step {step}")
            }
        }
    }
}

impl std::error::Error for Corruption {}

/// Snapshot of a program's history.
///
/// Cheap to create, so that it can be verified and encoded without holding the shard's lock.
#[derive(Debug, Clone)]
pub struct History {
    pub program: Program,
    pub segments: Vec<Arc<Segment>>,
}

impl History {
    /// Verifies every link; returns the first step at which the chain is broken.
    pub fn verify(&self) -> Result<(), Corruption> {
        let mut previous = Link::start(&self.program);
        for (segment, number) in self.segments.iter().zip(1..) {
            let follows = segment.previous == previous && segment.step == Step(number);
            match follows && segment.link == segment.digest() {
                true => previous = segment.link,
                false => return Err(Corruption::Chain(Step(number))),
            }
        }
        Ok(())
    }

    /// Verifies every link and returns the conversation as a JSON array of messages.
    ///
    /// A step whose answer is an error or unknown adds no messages.
    pub fn messages(&self) -> Result<Vec<u8>, Corruption> {
        self.verify()?;
        let mut messages = Vec::from(b"[");
        for segment in &self.segments {
            if let Some(answer) = segment.conversation_answer() {
                let unreadable = || Corruption::Messages(segment.step);
                let input = array_elements(&segment.input).ok_or_else(unreadable)?;
                append_elements(&mut messages, input);
                let message = assistant_message(answer).ok_or_else(unreadable)?;
                append_elements(&mut messages, message.as_bytes());
            }
        }
        messages.push(b']');
        Ok(messages)
    }
}

/// Appends comma-separated JSON elements to an open array.
fn append_elements(messages: &mut Vec<u8>, elements: &[u8]) {
    match elements {
        [] => (),
        _ if messages.len() > 1 => {
            messages.push(b',');
            messages.extend(elements);
        }
        _ => messages.extend(elements),
    }
}

/// Returns the text between the brackets of a JSON array.
fn array_elements(array: &[u8]) -> Option<&[u8]> {
    let inner = array.trim_ascii().strip_prefix(b"[")?.strip_suffix(b"]")?;
    Some(inner.trim_ascii())
}

/// Returns the assistant's message in an answer: a chat completion, an event stream of one, or
/// plain text.
fn assistant_message(answer: &Answer) -> Option<String> {
    let text = std::str::from_utf8(&answer.body).ok()?;
    let media_type = answer.content_type.split(';').next().unwrap_or_default();
    let message = match media_type.trim() {
        "application/json" => completion_message(text)?,
        "text/event-stream" => text_message(stream_text(text)?),
        _ => text_message(text.to_owned()),
    };
    Some(message.to_string())
}

fn completion_message(text: &str) -> Option<Value> {
    let body: Value = serde_json::from_str(text).ok()?;
    body.pointer("/choices/0/message").cloned()
}

fn text_message(content: String) -> Value {
    serde_json::json!({ "role": "assistant", "content": content })
}

fn stream_text(stream: &str) -> Option<String> {
    let events = stream.lines().filter_map(|line| line.strip_prefix("data:"));
    let events = events.map(str::trim).filter(|event| *event != "[DONE]");
    events.map(delta_text).collect()
}

fn delta_text(event: &str) -> Option<String> {
    let event: Value = serde_json::from_str(event).ok()?;
    let content = event.pointer("/choices/0/delta/content");
    Some(
        content
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned(),
    )
}
