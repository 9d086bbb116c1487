//! Server-sent events of a model engine's answer.

use std::fmt;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

use crate::part::Part;

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

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A part of an answer.
    Part(Part),
    /// The stream is whole.
    End,
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
    let part = serde_json::from_slice(data).map_err(|_| Error::Malformed)?;
    Ok(Event::Part(part))
}
