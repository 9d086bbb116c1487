//! File operations of a disk: the edge between the log and the operating system.

use std::fmt::Debug;
use std::fs;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// File operations that a log needs. Paths are passed on unchanged.
pub trait Volume: Debug + Send + Sync + 'static {
    type File: File;

    /// Creates a folder in an existing one, unless it exists; returns whether it didn't exist.
    ///
    /// Errors: the folder that contains it doesn't exist or can't be written.
    fn create_folder(&self, path: &Path) -> io::Result<bool>;

    /// Creates an empty file for writing.
    ///
    /// Errors: the file exists or can't be created.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// The content of a file.
    ///
    /// Errors: the file doesn't exist or can't be read.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// A part of a file.
    ///
    /// Errors: the file doesn't exist, is shorter, or can't be read.
    fn read_at(&self, path: &Path, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Names of the files in a folder.
    ///
    /// Errors: the folder can't be read.
    fn list(&self, path: &Path) -> io::Result<Vec<String>>;

    /// Removes a file.
    ///
    /// Errors: the file doesn't exist or can't be removed.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes the content of a file, or the names in a folder, outlast a power loss.
    ///
    /// Errors: the file or folder can't be opened or synced.
    fn sync(&self, path: &Path) -> io::Result<()>;
}

/// A file that is open for appending.
pub trait File: Debug + Send + 'static {
    /// Appends bytes.
    ///
    /// Errors: the disk is full or has failed; some of the bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes the file's content outlast a power loss, but not its name.
    ///
    /// Errors: the disk has failed; any of the writes since the last sync may be lost.
    fn sync(&mut self) -> io::Result<()>;

    /// Shortens the file.
    ///
    /// Errors: the disk has failed.
    fn truncate(&mut self, size: u64) -> io::Result<()>;
}

/// The files of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct Local;

impl Volume for Local {
    type File = fs::File;

    fn create_folder(&self, path: &Path) -> io::Result<bool> {
        match fs::create_dir(path) {
            Ok(()) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists && path.is_dir() => {
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    fn create(&self, path: &Path) -> io::Result<fs::File> {
        OpenOptions::new().write(true).create_new(true).open(path)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn read_at(&self, path: &Path, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; length];
        fs::File::open(path)?.read_exact_at(&mut bytes, offset)?;
        Ok(bytes)
    }

    fn list(&self, path: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(path)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        fs::File::open(path)?.sync_all()
    }
}

impl File for fs::File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn truncate(&mut self, size: u64) -> io::Result<()> {
        self.set_len(size)
    }
}
