//! Splits the bytes of a stream into server-sent events.
//!
//! Only complete events are relayed, so that a stream that breaks within an event can resume at
//! another target without a gap.

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes that terminate an event.
const TERMINATOR: &[u8] = b"\n\n";

/// Maximum size of an incomplete event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Events completed by one chunk of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    pub bytes: Bytes,
    pub count: u64,
}

/// Incremental event parser of one stream.
#[derive(Debug, Default)]
pub struct Scanner {
    partial: BytesMut,
}

/// Error for an incomplete event that exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

impl Scanner {
    /// Appends a chunk of the stream and returns the events that it completes.
    ///
    /// Errors: an incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, chunk: Bytes) -> Result<CompleteEvents, TooLong> {
        let (bytes, count) = match self.partial.is_empty() {
            true => {
                let (count, end) = complete_events(&chunk);
                self.partial.extend_from_slice(&chunk[end..]);
                (chunk.slice(..end), count)
            }
            false => {
                // Searched before, except that a terminator may begin at the last bytes.
                let searched = self.partial.len().saturating_sub(TERMINATOR.len() - 1);
                self.partial.extend_from_slice(&chunk);
                match complete_events(&self.partial[searched..]) {
                    (0, _) => (Bytes::new(), 0),
                    (count, end) => {
                        // A copy of the rest: it would keep the memory of the events allocated.
                        let rest = BytesMut::from(&self.partial[searched + end..]);
                        let mut events = std::mem::replace(&mut self.partial, rest);
                        events.truncate(searched + end);
                        (events.freeze(), count)
                    }
                }
            }
        };
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(CompleteEvents { bytes, count })
    }

    /// Size of the incomplete event, in bytes.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the bytes received so far end within an event.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Returns the number of complete events and the offset at which the last of them ends.
fn complete_events(bytes: &[u8]) -> (u64, usize) {
    let mut count = 0;
    let mut end = 0;
    while let Some(offset) = find(&bytes[end..], TERMINATOR) {
        count += 1;
        end += offset + TERMINATOR.len();
    }
    (count, end)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Whether a line of these events begins like the head of an answer, which no field does.
pub fn contains_head(events: &[u8]) -> bool {
    const HEAD: &[u8] = b"HTTP/1.";
    events
        .split(|byte| *byte == b'\n')
        .any(|line| line.starts_with(HEAD))
}

/// Appends each event's data and a line feed to `output`.
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

/// Returns the id of each event, if it has one. Skips comments, which have neither an id nor data.
pub fn ids(events: &[u8]) -> impl Iterator<Item = Option<&[u8]>> {
    split(events).filter_map(|event| {
        let id = fields(event, b"id").last();
        let is_event = id.is_some() || fields(event, b"data").next().is_some();
        is_event.then_some(id)
    })
}

fn split(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        let offset = find(rest, TERMINATOR)?;
        let event = &rest[..offset];
        rest = &rest[offset + TERMINATOR.len()..];
        Some(event)
    })
}

/// Returns the values of an event's fields called `name`.
fn fields<'a>(event: &'a [u8], name: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
    event.split(|byte| *byte == b'\n').filter_map(move |line| {
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}
