//! Server-sent events of a model engine's answer.

use std::fmt;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;

/// Largest event, in bytes.
const LIMIT: usize = 1024 * 1024;

/// An event that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Larger than allowed.
    TooLarge,
    /// No event of the chat-completions dialect.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::TooLarge => "event too large",
            Error::Malformed => "malformed event",
        })
    }
}

impl std::error::Error for Error {}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Usage {
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    pub completion_tokens: u64,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A part of an answer.
    Part(Part),
    /// The stream is whole.
    End,
}

/// What an event says of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Part {
    /// The request that it belongs to.
    pub request: String,
    pub content: String,
    pub finish: Option<String>,
    pub usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    id: String,
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Adds bytes from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    ///
    /// Errors: the event is too large or malformed.
    pub fn decode(&mut self) -> Result<Option<Event>, Error> {
        while let Some(line) = self.line()? {
            match line.strip_prefix(b"data:") {
                Some(data) => return event(data.trim_ascii()).map(Some),
                None => continue,
            }
        }
        Ok(None)
    }

    fn line(&mut self) -> Result<Option<Bytes>, Error> {
        match self.buffer.iter().position(|byte| *byte == b'\n') {
            Some(end) => {
                let line = self.buffer.split_to(end).freeze();
                self.buffer.advance(1);
                Ok(Some(line))
            }
            None if self.buffer.len() > LIMIT => Err(Error::TooLarge),
            None => Ok(None),
        }
    }
}

fn event(data: &[u8]) -> Result<Event, Error> {
    if data == b"[DONE]" {
        return Ok(Event::End);
    }
    let chunk: Chunk = serde_json::from_slice(data).map_err(|_| Error::Malformed)?;
    let mut part = Part {
        request: chunk.id,
        usage: chunk.usage,
        ..Part::default()
    };
    if let Some(choice) = chunk.choices.into_iter().next() {
        part.content = choice.delta.content.unwrap_or_default();
        part.finish = choice.finish_reason;
    }
    Ok(Event::Part(part))
}
