//! Files of a disk's log.
//!
//! Each start of the process begins a new file, and a file that has grown large is followed by the
//! next. A record stands as its length, its checksum and its bytes. A crash can leave any damage
//! behind the last sync, so a file counts up to its first record that doesn't check.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::record::Disk;
use crate::record::Record;

/// Size from which on a file is followed by the next, in bytes.
pub const SIZE_LIMIT: u64 = 16 * 1024 * 1024;

/// Bytes before a record: length and checksum.
const HEAD: usize = 8;

/// Largest record, in bytes.
const RECORD_LIMIT: usize = 16 * 1024 * 1024;

/// File with the disk's name.
const NAME_FILE: &str = "disk";

/// Number of a file, in the order of writing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub u64);

/// The folder of one disk.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Name of the disk's content.
    pub disk: Disk,
    /// Whether the folder was empty.
    pub fresh: bool,
}

impl Folder {
    /// Opens a folder; an empty one gets `fresh` as its disk's name.
    ///
    /// Errors: the folder can't be read or written, or holds an unreadable name.
    pub fn open(path: &Path, fresh: Disk) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        let name = path.join(NAME_FILE);
        let found = match fs::read_to_string(&name) {
            Ok(text) => text.trim().parse().ok(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(error),
        };
        let disk = match found {
            Some(disk) => disk,
            None => {
                // Records of a disk without its name can't be told from another disk's.
                for number in numbers(path)? {
                    fs::remove_file(file_path(path, number))?;
                }
                write_synced(&name, fresh.to_string().as_bytes())?;
                sync_folder(path)?;
                fresh
            }
        };
        Ok(Folder {
            path: path.to_owned(),
            disk,
            fresh: found.is_none(),
        })
    }

    /// Numbers of the files, in the order of writing.
    ///
    /// Errors: the folder can't be read.
    pub fn files(&self) -> io::Result<Vec<Number>> {
        numbers(&self.path)
    }

    /// Reads a file's records up to the first that doesn't check; says whether all did.
    ///
    /// Errors: the file can't be read.
    pub fn read(&self, number: Number, mut each: impl FnMut(Record)) -> io::Result<bool> {
        let bytes = fs::read(file_path(&self.path, number))?;
        let mut rest = bytes.as_slice();
        while let Some((record, tail)) = next(rest) {
            each(record);
            rest = tail;
        }
        Ok(rest.is_empty())
    }

    /// Starts a file.
    ///
    /// Errors: the file can't be created.
    pub fn create(&self, number: Number) -> io::Result<Segment> {
        let path = file_path(&self.path, number);
        let file = OpenOptions::new().write(true).create_new(true).open(path)?;
        Ok(Segment { file, size: 0 })
    }

    /// Removes a file. That it comes back after a crash does no harm.
    ///
    /// Errors: the file can't be removed.
    pub fn remove(&self, number: Number) -> io::Result<()> {
        fs::remove_file(file_path(&self.path, number))
    }
}

/// A file that is written.
#[derive(Debug)]
pub struct Segment {
    file: File,
    size: u64,
}

impl Segment {
    /// Appends encoded records and syncs them.
    ///
    /// Errors: the disk is full or fails; the records may be there or not.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        self.file.sync_data()?;
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Bytes written.
    pub fn size(&self) -> u64 {
        self.size
    }
}

/// Appends a record's encoding.
pub fn encode(record: &Record, output: &mut Vec<u8>) {
    let start = output.len();
    output.extend_from_slice(&[0; HEAD]);
    let body = crate::message::encode(record);
    output.extend_from_slice(&body);
    let length = (body.len() as u32).to_be_bytes();
    let checksum = crc32fast::hash(&body).to_be_bytes();
    output[start..start + 4].copy_from_slice(&length);
    output[start + 4..start + HEAD].copy_from_slice(&checksum);
}

/// The first record and what follows it; none if it doesn't check.
fn next(bytes: &[u8]) -> Option<(Record, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > RECORD_LIMIT || length > rest.len() {
        return None;
    }
    let (body, rest) = rest.split_at(length);
    if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
        return None;
    }
    let record = postcard::from_bytes(body).ok()?;
    Some((record, rest))
}

fn numbers(path: &Path) -> io::Result<Vec<Number>> {
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
