//! Log files of a disk.
//!
//! The process starts a new file at each start and whenever the current file reaches
//! [`ROTATION_BYTES`]. A record is stored as its length, its CRC32 checksum and its encoding. A
//! crash can corrupt anything after the last sync, so a file is read up to its first invalid record.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::record::Disk;
use crate::record::Record;

/// File size at which the log rotates to the next file, in bytes.
pub const ROTATION_BYTES: u64 = 16 * 1024 * 1024;

/// Bytes of a record's header: length and checksum.
const HEADER_BYTES: usize = 8;

/// Maximum encoded size of a record.
const MAX_RECORD_BYTES: usize = 16 * 1024 * 1024;

/// Name of the file with the disk's identifier.
const DISK_FILE: &str = "disk";

/// Number of a log file, in writing order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub u64);

/// Folder with the log files of one disk.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Identifier of the disk's content.
    pub disk: Disk,
    /// Whether the disk's identifier was created when the folder was opened.
    pub fresh: bool,
}

impl Folder {
    /// Opens a folder, creating it if needed. Without a valid identifier file, the disk gets the
    /// identifier `new_disk` and all its log files are removed.
    ///
    /// Errors: the folder or its identifier file can't be read or written.
    pub fn open(path: &Path, new_disk: Disk) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        let disk_file = path.join(DISK_FILE);
        let found = match fs::read_to_string(&disk_file) {
            Ok(text) => text.trim().parse().ok(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(error),
        };
        let disk = match found {
            Some(disk) => disk,
            None => {
                // Without the identifier, the records may belong to a different disk.
                for number in list_files(path)? {
                    fs::remove_file(file_path(path, number))?;
                }
                write_synced(&disk_file, new_disk.to_string().as_bytes())?;
                sync_folder(path)?;
                new_disk
            }
        };
        Ok(Folder {
            path: path.to_owned(),
            disk,
            fresh: found.is_none(),
        })
    }

    /// Numbers of the log files, in writing order.
    ///
    /// Errors: the folder can't be read.
    pub fn files(&self) -> io::Result<Vec<Number>> {
        list_files(&self.path)
    }

    /// Passes a file's records to `on_record` up to the first invalid one; returns whether all are
    /// valid.
    ///
    /// Errors: the file can't be read.
    pub fn read(&self, number: Number, mut on_record: impl FnMut(Record)) -> io::Result<bool> {
        let bytes = fs::read(file_path(&self.path, number))?;
        let mut rest = bytes.as_slice();
        while let Some((record, tail)) = decode_next(rest) {
            on_record(record);
            rest = tail;
        }
        Ok(rest.is_empty())
    }

    /// Creates a log file.
    ///
    /// Errors: the file exists or can't be created.
    pub fn create(&self, number: Number) -> io::Result<Segment> {
        let path = file_path(&self.path, number);
        let file = OpenOptions::new().write(true).create_new(true).open(path)?;
        Ok(Segment { file, size: 0 })
    }

    /// Removes a log file, without syncing the folder: a file that reappears after a crash only
    /// contains expired records.
    ///
    /// Errors: the file can't be removed.
    pub fn remove(&self, number: Number) -> io::Result<()> {
        fs::remove_file(file_path(&self.path, number))
    }
}

/// Log file that is open for appending.
#[derive(Debug)]
pub struct Segment {
    file: File,
    size: u64,
}

impl Segment {
    /// Appends encoded records and syncs them.
    ///
    /// Errors: the disk is full or has failed; the records may or may not be stored.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        self.file.sync_data()?;
        self.size += bytes.len() as u64;
        Ok(())
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
    let body = crate::message::encode(record);
    output.extend_from_slice(&body);
    let length = (body.len() as u32).to_be_bytes();
    let checksum = crc32fast::hash(&body).to_be_bytes();
    output[start..start + 4].copy_from_slice(&length);
    output[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum);
}

/// Decodes the first record; also returns the remaining bytes. `None` if the record is invalid.
fn decode_next(bytes: &[u8]) -> Option<(Record, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MAX_RECORD_BYTES || length > rest.len() {
        return None;
    }
    let (body, rest) = rest.split_at(length);
    if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
        return None;
    }
    let record = postcard::from_bytes(body).ok()?;
    Some((record, rest))
}

fn list_files(path: &Path) -> io::Result<Vec<Number>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(path)? {
        let name = entry?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_suffix(".log"))
            .and_then(|stem| stem.parse().ok());
        numbers.extend(number.map(Number));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn file_path(path: &Path, number: Number) -> PathBuf {
    path.join(format!("{:08}.log", number.0))
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn sync_folder(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}
