//! Decodes the server-sent events of a model engine's answer.

use std::fmt;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

use crate::part::Part;

/// Maximum length of one line, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why an event can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The line is longer than the limit.
    TooLarge,
    /// The data isn't a chat-completions chunk.
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

/// One `data` event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A chunk of the answer.
    Part(Part),
    /// `[DONE]`: the stream is complete.
    Done,
}

/// Incremental decoder of a byte stream.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Appends bytes from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or none until more bytes arrive.
    ///
    /// Errors: the event is too large or malformed.
    pub fn decode(&mut self) -> Result<Option<Event>, Error> {
        while let Some(line) = self.next_line()? {
            match line.strip_prefix(b"data:") {
                Some(data) => return parse_event(data.trim_ascii()).map(Some),
                None => continue,
            }
        }
        Ok(None)
    }

    fn next_line(&mut self) -> Result<Option<Bytes>, Error> {
        match self.buffer.iter().position(|byte| *byte == b'\n') {
            Some(end) => {
                let line = self.buffer.split_to(end).freeze();
                self.buffer.advance(1);
                Ok(Some(line))
            }
            None if self.buffer.len() > MAX_EVENT_BYTES => Err(Error::TooLarge),
            None => Ok(None),
        }
    }
}

fn parse_event(data: &[u8]) -> Result<Event, Error> {
    if data == b"[DONE]" {
        return Ok(Event::Done);
    }
    let part = serde_json::from_slice(data).map_err(|_| Error::Malformed)?;
    Ok(Event::Part(part))
}
