//! A program's history: one segment a step, each linked to the hash of the one before.
//!
//! A missing, altered or foreign segment breaks the chain, so that a history is either whole and
//! the program's own or not given at all.

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

/// Hash of a history up to and with one segment.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link([u8; 32]);

impl Link {
    /// The start of a program's history; differs for each program.
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

/// What one step added to the history.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    pub previous: Link,
    pub step: Step,
    /// Hash of what was asked.
    pub content: u64,
    /// New messages, JSON array; empty for a plain service.
    #[serde(with = "crate::bytes")]
    pub input: Vec<u8>,
    /// None: the outcome is unknown.
    pub answer: Option<Arc<Answer>>,
    pub link: Link,
}

impl Segment {
    /// The segment of a step that follows `previous`.
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

    /// The answer of a step that belongs in the conversation.
    fn reply(&self) -> Option<&Answer> {
        let answer = self.answer.as_deref();
        answer.filter(|answer| !self.input.is_empty() && SUCCESS.contains(&answer.status))
    }
}

/// A history that can't be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Corruption {
    /// A segment is missing, altered or foreign.
    Chain(Step),
    /// A segment holds no messages that can be read.
    Messages(Step),
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Corruption::Chain(step) => write!(f, "history is broken at step {step}"),
            Corruption::Messages(step) => write!(f, "history is unreadable at step {step}"),
        }
    }
}

impl std::error::Error for Corruption {}

/// A program's history at one moment; cheap to take, to be checked and written out off the lock.
#[derive(Debug, Clone)]
pub struct History {
    pub program: Program,
    pub segments: Vec<Arc<Segment>>,
}

impl History {
    /// Checks every link.
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

    /// The whole conversation after checking every link, as a JSON array of messages.
    ///
    /// A step whose answer is an error or unknown adds nothing.
    pub fn messages(&self) -> Result<Vec<u8>, Corruption> {
        self.verify()?;
        let mut messages = Vec::from(b"[");
        for segment in &self.segments {
            if let Some(answer) = segment.reply() {
                let unreadable = || Corruption::Messages(segment.step);
                let input = elements(&segment.input).ok_or_else(unreadable)?;
                append(&mut messages, input);
                let reply = reply(answer).ok_or_else(unreadable)?;
                append(&mut messages, reply.as_bytes());
            }
        }
        messages.push(b']');
        Ok(messages)
    }
}

fn append(messages: &mut Vec<u8>, element: &[u8]) {
    match element {
        [] => (),
        _ if messages.len() > 1 => {
            messages.push(b',');
            messages.extend(element);
        }
        _ => messages.extend(element),
    }
}

/// What stands between the brackets of a JSON array.
fn elements(array: &[u8]) -> Option<&[u8]> {
    let inner = array.trim_ascii().strip_prefix(b"[")?.strip_suffix(b"]")?;
    Some(inner.trim_ascii())
}

/// The assistant's message in an answer: a chat completion, an event stream of one, or plain text.
fn reply(answer: &Answer) -> Option<String> {
    let text = std::str::from_utf8(&answer.body).ok()?;
    let kind = answer.content_type.split(';').next().unwrap_or_default();
    let message = match kind.trim() {
        "application/json" => completion(text)?,
        "text/event-stream" => said(deltas(text)?),
        _ => said(text.to_owned()),
    };
    Some(message.to_string())
}

fn completion(text: &str) -> Option<Value> {
    let body: Value = serde_json::from_str(text).ok()?;
    body.pointer("/choices/0/message").cloned()
}

fn said(content: String) -> Value {
    serde_json::json!({ "role": "assistant", "content": content })
}

fn deltas(stream: &str) -> Option<String> {
    let events = stream.lines().filter_map(|line| line.strip_prefix("data:"));
    let events = events.map(str::trim).filter(|event| *event != "[DONE]");
    events.map(delta).collect()
}

fn delta(event: &str) -> Option<String> {
    let event: Value = serde_json::from_str(event).ok()?;
    let content = event.pointer("/choices/0/delta/content");
    Some(
        content
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned(),
    )
}
