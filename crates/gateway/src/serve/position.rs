//! Position in a stream, by the ids of its events.
//!
//! A target that resumes a stream may start it elsewhere than asked, for instance at its beginning. The
//! caller would receive events twice, or miss some.

use crate::serve::event;

/// Events of a stream that the caller has received.
#[derive(Debug, Clone, Default)]
pub struct Position {
    last: Option<String>,
    /// Whether events without an id came after the last one that has one.
    unnamed: bool,
    /// Whether each id was one more than the one before; none before the second id.
    consecutive: Option<bool>,
}

impl Position {
    /// Position of a caller that has received the event `last` and all before it.
    pub fn after(last: Option<&str>) -> Position {
        Position {
            last: last.map(str::to_owned),
            ..Position::default()
        }
    }

    /// Whether the caller has received no event.
    pub fn is_start(&self) -> bool {
        self.last.is_none() && !self.unnamed
    }

    /// Id of the last event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether another target can be told where to go on: no event without an id would be sent again.
    pub fn is_resumable(&self) -> bool {
        !self.unnamed
    }

    /// Whether a stream whose first events are `events` goes on here; it must start with a greater id, and
    /// with the next one if ids have been consecutive so far. Ids that aren't numbers must differ. Comments
    /// go on anywhere.
    pub fn is_continued_by(&self, events: &[u8]) -> bool {
        let Some(last) = &self.last else {
            return true;
        };
        let first = match event::ids(events).next() {
            None => return true,
            Some(None) => return false,
            Some(Some(first)) => first,
        };
        let first = String::from_utf8_lossy(first);
        match (number(last), number(&first)) {
            (Some(last), Some(first)) if self.consecutive == Some(true) => {
                last.checked_add(1) == Some(first)
            }
            (Some(last), Some(first)) => first > last,
            _ => *last != first,
        }
    }

    /// Records events that the caller receives.
    pub fn advance(&mut self, events: &[u8]) {
        for id in event::ids(events) {
            let Some(id) = id else {
                self.unnamed = true;
                continue;
            };
            let id = String::from_utf8_lossy(id).into_owned();
            if let Some(last) = &self.last {
                let next = number(last).and_then(|last| last.checked_add(1));
                let follows = next.is_some() && next == number(&id);
                self.consecutive = Some(follows && self.consecutive != Some(false));
            }
            self.last = Some(id);
            self.unnamed = false;
        }
    }
}

fn number(id: &str) -> Option<u64> {
    id.parse().ok()
}
