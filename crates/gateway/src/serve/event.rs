//! Events of a stream, found in its bytes.
//!
//! Only whole events are passed on, so that a stream which breaks in the middle of one can go on at
//! another target without a gap.

use bytes::Bytes;
use bytes::BytesMut;

/// End of an event.
const END: &[u8] = b"\n\n";

/// Largest event, in bytes.
pub const EVENT_LIMIT: usize = 1024 * 1024;

/// Whole events out of one piece of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Whole {
    /// The events' bytes.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u64,
}

/// Finds events in the bytes of one stream.
#[derive(Debug, Default)]
pub struct Scanner {
    partial: BytesMut,
}

/// An event that has no end within the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

impl Scanner {
    /// Takes a piece; returns the events that are whole by now.
    ///
    /// Errors: an event is too long.
    pub fn push(&mut self, piece: Bytes) -> Result<Whole, TooLong> {
        let piece = match self.partial.is_empty() {
            true => piece,
            false => {
                self.partial.extend_from_slice(&piece);
                self.partial.split().freeze()
            }
        };
        let (count, end) = ends(&piece);
        self.partial.extend_from_slice(&piece[end..]);
        if self.partial.len() > EVENT_LIMIT {
            return Err(TooLong);
        }
        let bytes = piece.slice(..end);
        Ok(Whole { bytes, count })
    }

    /// Whether the stream has stopped in the middle of an event.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Number of whole events and where the last of them ends.
fn ends(bytes: &[u8]) -> (u64, usize) {
    let mut count = 0;
    let mut end = 0;
    while let Some(at) = find(&bytes[end..], END) {
        count += 1;
        end += at + END.len();
    }
    (count, end)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Appends each event's data and a line feed.
pub fn append_data(events: &[u8], output: &mut Vec<u8>) {
    for event in split(events) {
        let mut lines = fields(event, b"data");
        if let Some(first) = lines.next() {
            output.extend_from_slice(first);
        }
        for line in lines {
            output.push(b'\n');
            output.extend_from_slice(line);
        }
        output.push(b'\n');
    }
}

/// Id of the last event that has one.
pub fn last_id(events: &[u8]) -> Option<&[u8]> {
    split(events)
        .filter_map(|event| fields(event, b"id").last())
        .last()
}

fn split(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        let at = find(rest, END)?;
        let event = &rest[..at];
        rest = &rest[at + END.len()..];
        Some(event)
    })
}

/// Values of an event's fields with this name.
fn fields<'a>(event: &'a [u8], name: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
    event.split(|byte| *byte == b'\n').filter_map(move |line| {
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}
