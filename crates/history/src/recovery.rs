//! Reading of a disk's log when its process starts.
//!
//! The records of the newest files are written once more before they are used, since what can be read
//! of these files needn't be on the disk; see [`segment`](crate::segment).

use std::io;

use crate::Set;
use crate::content;
use crate::content::Place;
use crate::index::Index;
use crate::record::Record;
use crate::segment;
use crate::segment::Folder;
use crate::segment::HEADER_BYTES;
use crate::segment::Number;
use crate::segment::Segment;
use crate::volume::Volume;

/// Size of the parts in which a copy is written, in bytes.
const PART_BYTES: usize = 1024 * 1024;

/// A disk's records, and the empty file to which new ones are appended.
#[derive(Debug)]
pub struct Recovery<F> {
    pub index: Index,
    pub number: Number,
    pub segment: Segment<F>,
    /// Number of log files that were read.
    pub files: usize,
}

/// Reads all records of a folder, makes them outlast a power loss and creates the next log file;
/// contents beyond `memory_bytes` are left in the log.
///
/// Errors: the folder can't be read, written or synced.
pub fn recover<V: Volume>(
    folder: &Folder<V>,
    memory_bytes: usize,
) -> io::Result<Recovery<V::File>> {
    let mut index = Index::default();
    let files = folder.files()?;
    let (synced, unsynced) = segment::split_unsynced(&files);
    for number in synced {
        let content = folder.read_placed(*number, |record, place| {
            index.insert_entry(record, *number, Some(read_entry(place)));
            index.release_memory(memory_bytes, 0);
        })?;
        if content.unknown == 0 {
            index.add_file(*number);
        }
        log_defects(*number, content);
    }
    // Processes of earlier builds used records of a killed process without writing them again.
    folder.sync()?;
    let last = files.last().copied().unwrap_or(Number(0));
    let mut copy = Copy::new(folder, last.next_copy(), memory_bytes);
    for number in unsynced {
        let mut unknown = 0;
        let whole = folder.read_encoded(*number, |record, encoded| {
            unknown += usize::from(record.is_none());
            copy.add(&mut index, record, encoded)
        })?;
        log_defects(*number, segment::Content { whole, unknown });
    }
    let number = copy.number.next();
    copy.finish(&mut index)?;
    // A file that was copied must not be read before its copy: its records would count as stored in it.
    for number in unsynced {
        folder.remove(*number)?;
    }
    // Once this file exists, the copy counts as synced.
    let segment = folder.create(number)?;
    Ok(Recovery {
        index,
        number,
        segment,
        files: files.len(),
    })
}

fn read_entry(place: Place) -> content::Entry {
    content::Entry {
        place,
        submission: 0,
    }
}

fn log_defects(number: Number, content: segment::Content) {
    if !content.whole {
        log::warn!(
            step = "read log", peer = "disk", file = number.0;
            "log file ends in damaged records, which are skipped"
        );
    }
    if content.unknown > 0 {
        log::warn!(
            step = "read log", peer = "disk", file = number.0, records = content.unknown;
            "log file has records of a newer build, which are skipped"
        );
    }
}

/// Copy of the records that only the newest files contain.
struct Copy<'a, V: Volume> {
    folder: &'a Folder<V>,
    number: Number,
    memory_bytes: usize,
    segment: Option<Segment<V::File>>,
    /// Encoded records that aren't written yet.
    part: Vec<u8>,
    /// Size of the copy with `part`, in bytes.
    bytes: u64,
    /// Whether there was any record to copy.
    any: bool,
    /// Encoded records of unknown kinds.
    unknown: Set<Vec<u8>>,
}

impl<'a, V: Volume> Copy<'a, V> {
    fn new(folder: &'a Folder<V>, number: Number, memory_bytes: usize) -> Copy<'a, V> {
        Copy {
            folder,
            number,
            memory_bytes,
            segment: None,
            part: Vec::new(),
            bytes: 0,
            any: false,
            unknown: Set::default(),
        }
    }

    /// Adds a record to the index, and to the copy if it changed the index. The membership and the
    /// joining state, of which only the last ones count, are written at the end.
    fn add(&mut self, index: &mut Index, record: Option<Record>, encoded: &[u8]) -> io::Result<()> {
        self.any = true;
        let place = Place {
            file: self.number,
            offset: self.bytes + HEADER_BYTES as u64,
            length: (encoded.len() - HEADER_BYTES) as u32,
        };
        let is_state = matches!(record, Some(Record::Membership(_) | Record::Joining(_)));
        let is_new = match record {
            Some(record) => index.insert_entry(record, self.number, Some(read_entry(place))),
            None => self.unknown.insert(encoded.to_vec()),
        };
        index.release_memory(self.memory_bytes, 0);
        match is_new && !is_state {
            true => self.write(encoded),
            false => Ok(()),
        }
    }

    fn write(&mut self, encoded: &[u8]) -> io::Result<()> {
        self.part.extend_from_slice(encoded);
        self.bytes += encoded.len() as u64;
        match self.part.len() >= PART_BYTES {
            true => self.flush(),
            false => Ok(()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        let segment = match &mut self.segment {
            Some(segment) => segment,
            None => self.segment.insert(self.folder.create(self.number)?),
        };
        segment.write(&self.part)?;
        self.part.clear();
        Ok(())
    }

    /// Ends and syncs the copy, if there was any record to copy.
    fn finish(mut self, index: &mut Index) -> io::Result<()> {
        if !self.any {
            return Ok(());
        }
        segment::encode(
            &Record::Membership(index.membership.clone()),
            &mut self.part,
        );
        segment::encode(&Record::Joining(index.joining), &mut self.part);
        self.flush()?;
        if self.unknown.is_empty() {
            index.add_file(self.number);
        }
        match &mut self.segment {
            Some(segment) => segment.sync(),
            None => Ok(()),
        }
    }
}
