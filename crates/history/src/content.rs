//! Contents of stored turns.
//!
//! They are kept in memory up to a limit; beyond it, the oldest ones are read from the log when they
//! are asked for. A disk that replaces another one holds the turns of all disks, which may exceed its
//! host's memory.

use std::collections::VecDeque;
use std::fmt;
use std::io;

use bytes::Bytes;
use coord::id::Request;

use crate::record::Record;
use crate::segment::Number;

/// Place of a record's encoding in a log file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    pub file: Number,
    /// First byte after the record's header.
    pub offset: u64,
    /// Length without the header, in bytes.
    pub length: u32,
}

/// A record's place, and the number of the submission that writes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    pub place: Place,
    pub submission: u64,
}

/// Content of a stored turn.
#[derive(Debug)]
pub enum Content {
    Memory(Bytes),
    Log {
        place: Place,
        /// Size of the content, in bytes.
        bytes: usize,
    },
}

impl Content {
    /// Size of the content, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Content::Memory(content) => content.len(),
            Content::Log { bytes, .. } => *bytes,
        }
    }

    /// Size of the memory that the content takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        match self {
            Content::Memory(content) => content.len(),
            Content::Log { .. } => 0,
        }
    }
}

/// A record of the index; the content of a turn may have to be read from the log.
#[derive(Debug, Clone)]
pub struct Found {
    pub record: Record,
    /// Place of a turn whose content isn't in memory; its content is empty.
    pub place: Option<Place>,
}

impl Found {
    /// The whole record.
    ///
    /// Errors: the log can't be read.
    pub fn load(self, log: &Log) -> io::Result<Record> {
        match (self.record, self.place) {
            (Record::Turn(mut turn), Some(place)) => {
                turn.content = (log.0)(place)?;
                Ok(Record::Turn(turn))
            }
            (record, _) => Ok(record),
        }
    }
}

/// Function that reads a turn's content from the log.
pub struct Log(pub Box<dyn Fn(Place) -> io::Result<Bytes> + Send + Sync>);

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

/// Turns whose contents are in memory and in the log, in order of arrival.
#[derive(Debug, Default)]
pub struct Memory {
    /// Size of all contents in memory, in bytes.
    pub bytes: usize,
    order: VecDeque<(Request, Entry)>,
}

impl Memory {
    /// Adds a turn; without an entry, its content stays in memory.
    pub fn add(&mut self, turn: &Request, bytes: usize, entry: Option<Entry>) {
        self.bytes += bytes;
        let added = entry.map(|entry| (turn.clone(), entry));
        self.order.extend(added);
    }

    /// Forgets the oldest turns as long as `is_stored` says that they were removed.
    pub fn forget(&mut self, is_stored: impl Fn(&Request) -> bool) {
        while self.order.front().is_some_and(|(turn, _)| !is_stored(turn)) {
            self.order.pop_front();
        }
    }

    /// The turn whose content is to be removed from memory next, if the contents exceed `limit` and
    /// the turn is among the submissions up to `written`.
    pub fn next_excess(&mut self, limit: usize, written: u64) -> Option<(Request, Place)> {
        let (_, entry) = self.order.front()?;
        if self.bytes <= limit || entry.submission > written {
            return None;
        }
        let (turn, entry) = self.order.pop_front()?;
        Some((turn, entry.place))
    }
}
