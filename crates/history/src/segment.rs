//! Log files of a disk.
//!
//! The process starts a new file at each start and whenever the current file reaches
//! [`ROTATION_BYTES`]. A record is stored as its length, its CRC32 checksum and its encoding. A
//! crash can corrupt anything after the last sync, so a file is read up to its first damaged record.
//! A record of an unknown kind isn't damaged: a newer build wrote it, and the records after it count.
//!
//! Bytes that can be read needn't be on the disk: after a failed sync, no later sync covers them, and
//! the process that knows it may have been killed. A process only appends to files that it has created
//! itself, and creates a file only once all earlier ones are synced, so only the newest file can have
//! such bytes. A process that starts writes the records of that file once more, to a new file, and
//! syncs this copy before it uses them. Copies have odd numbers and other files even ones: a copy
//! without a later file with an even number may be incomplete, and the files before it, back to the
//! first with an even number, may be needed. Builds without copies use both; the rule then copies more
//! than is needed.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;

use crate::content::Place;
use crate::record::Disk;
use crate::record::Record;
use crate::volume::File;
use crate::volume::Local;
use crate::volume::Volume;

/// File size at which the log rotates to the next file, in bytes.
pub const ROTATION_BYTES: u64 = 16 * 1024 * 1024;

/// Bytes of a record's header: length and checksum.
pub const HEADER_BYTES: usize = 8;

/// Maximum encoded size of a record.
const MAX_RECORD_BYTES: usize = 16 * 1024 * 1024;

/// Name of the file with the disk's identifier.
const DISK_FILE: &str = "disk";

/// Name of the file that marks the disk of a host that retires; earlier builds ignore it.
const RETIRING_FILE: &str = "retiring";

/// Number of a log file, in writing order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub u64);

impl Number {
    /// The next number of a copy.
    pub fn next_copy(self) -> Number {
        Number((self.0 + 1) | 1)
    }

    /// The next number of a file that isn't a copy.
    pub fn next(self) -> Number {
        Number((self.0 | 1) + 1)
    }

    /// Whether the file may be a copy.
    pub fn is_copy(self) -> bool {
        self.0 % 2 == 1
    }
}

/// Splits log files into those that are certainly on the disk and the newest ones, which may only be
/// readable.
pub fn split_unsynced(files: &[Number]) -> (&[Number], &[Number]) {
    let last = files.iter().rposition(|number| !number.is_copy());
    files.split_at(last.unwrap_or(0))
}

/// What a log file contains besides known records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Content {
    /// Whether the file has no damaged record.
    pub whole: bool,
    /// Number of undamaged records that can't be decoded, as a newer build wrote them.
    pub unknown: usize,
}

/// Folder with the log files of one disk.
#[derive(Debug)]
pub struct Folder<V = Local> {
    volume: V,
    path: PathBuf,
    /// Identifier of the disk's content.
    pub disk: Disk,
    /// Whether the disk's identifier was created when the folder was opened.
    pub fresh: bool,
}

impl Folder {
    /// Opens a folder of the operating system; see [`Folder::open_on`].
    ///
    /// Errors: the folder or its identifier file can't be read or written.
    pub fn open(path: &Path, new_disk: Disk) -> io::Result<Folder> {
        Folder::open_on(Local, path, new_disk)
    }
}

impl<V: Volume> Folder<V> {
    /// Opens a folder, creating it if needed. Without a valid identifier file, the disk gets the
    /// identifier `new_disk` and all its log files are removed.
    ///
    /// Errors: the folder or its identifier file can't be read or written.
    pub fn open_on(volume: V, path: &Path, new_disk: Disk) -> io::Result<Folder<V>> {
        create_folders(&volume, path)?;
        let disk_file = path.join(DISK_FILE);
        let found = match volume.read(&disk_file) {
            Ok(bytes) => Some(parse_disk(&bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(error),
        };
        let disk = match found.flatten() {
            Some(disk) => disk,
            None => {
                sync_parents(&volume, path);
                // Without the identifier, the records may belong to a different disk.
                for number in list_files(&volume, path)? {
                    volume.remove(&file_path(path, number))?;
                }
                if found.is_some() {
                    volume.remove(&disk_file)?;
                }
                // A removed file must not reappear beside the new identifier.
                volume.sync(path)?;
                let mut file = volume.create(&disk_file)?;
                file.append(new_disk.to_string().as_bytes())?;
                file.sync()?;
                volume.sync(path)?;
                new_disk
            }
        };
        Ok(Folder {
            volume,
            path: path.to_owned(),
            disk,
            fresh: found.flatten().is_none(),
        })
    }

    /// Whether the host retires, or has retired and not joined again.
    ///
    /// Errors: the folder can't be read.
    pub fn is_retiring(&self) -> io::Result<bool> {
        let names = self.volume.list(&self.path)?;
        Ok(names.iter().any(|name| name == RETIRING_FILE))
    }

    /// Stores whether the host retires; the change outlasts a power loss.
    ///
    /// Errors: the folder can't be read, written or synced.
    pub fn set_retiring(&self, retiring: bool) -> io::Result<()> {
        let file = self.path.join(RETIRING_FILE);
        match (self.is_retiring()?, retiring) {
            (false, true) => self.volume.create(&file)?.sync()?,
            (true, false) => self.volume.remove(&file)?,
            (true, true) | (false, false) => {}
        }
        self.volume.sync(&self.path)
    }

    /// Numbers of the log files, in writing order.
    ///
    /// Errors: the folder can't be read.
    pub fn files(&self) -> io::Result<Vec<Number>> {
        list_files(&self.volume, &self.path)
    }

    /// Passes a file's records to `on_record` up to the first damaged one, without those of unknown
    /// kinds.
    ///
    /// Errors: the file can't be read.
    pub fn read(&self, number: Number, mut on_record: impl FnMut(Record)) -> io::Result<Content> {
        self.read_placed(number, |record, _| on_record(record))
    }

    /// [`Folder::read`], with the place of each record.
    ///
    /// Errors: the file can't be read.
    pub fn read_placed(
        &self,
        number: Number,
        mut on_record: impl FnMut(Record, Place),
    ) -> io::Result<Content> {
        let mut offset = 0;
        let mut unknown = 0;
        let whole = self.read_encoded(number, |record, encoded| {
            let place = Place {
                file: number,
                offset: offset + HEADER_BYTES as u64,
                length: (encoded.len() - HEADER_BYTES) as u32,
            };
            offset += encoded.len() as u64;
            match record {
                Some(record) => on_record(record, place),
                None => unknown += 1,
            }
            Ok(())
        })?;
        Ok(Content { whole, unknown })
    }

    /// Passes a file's records to `on_record` with their headers and encodings, up to the first damaged
    /// one; `None` for those of unknown kinds. Returns whether the file has no damaged record.
    ///
    /// Errors: the file can't be read, or `on_record` fails.
    pub fn read_encoded(
        &self,
        number: Number,
        mut on_record: impl FnMut(Option<Record>, &[u8]) -> io::Result<()>,
    ) -> io::Result<bool> {
        let bytes = self.volume.read(&file_path(&self.path, number))?;
        let mut rest = bytes.as_slice();
        while let Some((body, tail)) = split_next(rest) {
            let encoded = &rest[..HEADER_BYTES + body.len()];
            on_record(postcard::from_bytes(body).ok(), encoded)?;
            rest = tail;
        }
        Ok(rest.is_empty())
    }

    /// Reads the content of the turn at a place.
    ///
    /// Errors: the file can't be read, or has no whole record of a turn there.
    pub fn read_content(&self, place: Place) -> io::Result<Bytes> {
        let start = place.offset.saturating_sub(HEADER_BYTES as u64);
        let length = HEADER_BYTES + place.length as usize;
        let path = file_path(&self.path, place.file);
        let bytes = self.volume.read_at(&path, start, length)?;
        let record = split_next(&bytes).and_then(|(body, _)| postcard::from_bytes(body).ok());
        match record {
            Some(Record::Turn(turn)) => Ok(turn.content),
            _ => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "log file is damaged",
            )),
        }
    }

    /// Makes the identifier, the names of all log files and all that can be read from them outlast a
    /// power loss.
    ///
    /// Errors: a file or the folder can't be synced.
    pub fn sync(&self) -> io::Result<()> {
        self.volume.sync(&self.path.join(DISK_FILE))?;
        for number in self.files()? {
            self.volume.sync(&file_path(&self.path, number))?;
        }
        self.volume.sync(&self.path)
    }

    /// Creates a log file; its name outlasts a power loss.
    ///
    /// Errors: the file exists or can't be created, or the folder can't be synced.
    pub fn create(&self, number: Number) -> io::Result<Segment<V::File>> {
        let file = self.volume.create(&file_path(&self.path, number))?;
        // A sync of the file covers its content only.
        self.volume.sync(&self.path)?;
        Ok(Segment { file, size: 0 })
    }

    /// Removes a log file, without syncing the folder: a file that reappears after a crash only
    /// contains expired records.
    ///
    /// Errors: the file can't be removed.
    pub fn remove(&self, number: Number) -> io::Result<()> {
        self.volume.remove(&file_path(&self.path, number))
    }
}

/// Log file that is open for appending.
#[derive(Debug)]
pub struct Segment<F> {
    file: F,
    size: u64,
}

impl<F: File> Segment<F> {
    /// Appends encoded records and syncs them.
    ///
    /// Errors: the disk is full or has failed; the records may or may not be stored, and nothing may be
    /// appended any more.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.file.append(bytes).and_then(|()| self.file.sync());
        match written {
            Ok(()) => self.size += bytes.len() as u64,
            // After a failed sync, the bytes can still be read, but nothing of them was acknowledged.
            Err(_) => self.file.truncate(self.size)?,
        }
        written
    }

    /// Appends encoded records without syncing them.
    ///
    /// Errors: the disk is full or has failed, and nothing may be appended any more.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.append(bytes)?;
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Syncs what was written.
    ///
    /// Errors: the disk has failed, and nothing may be appended any more.
    pub fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }

    /// Number of bytes written.
    pub fn size(&self) -> u64 {
        self.size
    }
}

/// Appends a record's header and encoding to `output`.
pub fn encode(record: &Record, output: &mut Vec<u8>) {
    let start = output.len();
    output.extend_from_slice(&[0; HEADER_BYTES]);
    *output = crate::message::append(record, std::mem::take(output));
    let body = &output[start + HEADER_BYTES..];
    let length = (body.len() as u32).to_be_bytes();
    let checksum = crc32fast::hash(body).to_be_bytes();
    output[start..start + 4].copy_from_slice(&length);
    output[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum);
}

/// Encoding of the first record, and the remaining bytes. `None` if the record is damaged.
fn split_next(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MAX_RECORD_BYTES || length > rest.len() {
        return None;
    }
    let (body, rest) = rest.split_at(length);
    (crc32fast::hash(body) == u32::from_be_bytes(*checksum)).then_some((body, rest))
}

/// Creates a folder and those that contain it, as far as they don't exist; their names outlast a power
/// loss.
fn create_folders<V: Volume>(volume: &V, path: &Path) -> io::Result<()> {
    let created = match (volume.create_folder(path), parent(path)) {
        (Err(error), Some(parent)) if error.kind() == io::ErrorKind::NotFound => {
            create_folders(volume, parent)?;
            volume.create_folder(path)?
        }
        (created, _) => created?,
    };
    match parent(path) {
        Some(parent) if created => volume.sync(parent),
        _ => Ok(()),
    }
}

/// Syncs the names of a folder and of those that contain it: a killed process may have created them.
fn sync_parents<V: Volume>(volume: &V, path: &Path) {
    let mut next = parent(path);
    while let Some(folder) = next {
        if let Err(error) = volume.sync(folder) {
            // An operator's folder may be in one that can't be opened.
            log::debug!(
                step = "open disk", peer = "disk";
                "a folder that contains the data folder can't be synced: {error}"
            );
        }
        next = parent(folder);
    }
}

/// The folder that contains a path.
fn parent(path: &Path) -> Option<&Path> {
    match path.parent()? {
        parent if !parent.as_os_str().is_empty() => Some(parent),
        _ if path == Path::new(".") => None,
        _ => Some(Path::new(".")),
    }
}

/// The identifier in an identifier file; `None` if the file is incomplete.
fn parse_disk(bytes: &[u8]) -> Option<Disk> {
    let text = std::str::from_utf8(bytes).ok()?.trim();
    let disk: Disk = text.parse().ok()?;
    // A part of an identifier is a number too.
    (disk.to_string() == text).then_some(disk)
}

fn list_files<V: Volume>(volume: &V, path: &Path) -> io::Result<Vec<Number>> {
    let names = volume.list(path)?;
    let numbers = names
        .iter()
        .filter_map(|name| name.strip_suffix(".log"))
        .filter_map(|stem| stem.parse().ok());
    let mut numbers: Vec<Number> = numbers.map(Number).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

fn file_path(path: &Path, number: Number) -> PathBuf {
    path.join(format!("{:08}.log", number.0))
}
