//! Group commit: one thread writes and syncs what has come since its last sync, then answers.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;

use crate::segment::Folder;
use crate::segment::Number;
use crate::segment::Segment;

/// Called with whether the records are on the disk.
pub type Done = Box<dyn FnOnce(bool) + Send>;

#[derive(Default)]
struct Batch {
    /// Encoded records by the file that they go to, in order.
    parts: Vec<(Number, Vec<u8>)>,
    done: Vec<Done>,
}

#[derive(Default)]
struct Shared {
    batch: Mutex<Batch>,
    arrived: Condvar,
    failed: AtomicBool,
    syncs: AtomicU64,
    sync_micros: AtomicU64,
}

/// Writes records to a disk's log.
#[derive(Clone)]
pub struct Committer {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Committer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Committer").finish_non_exhaustive()
    }
}

impl Committer {
    /// Starts the thread.
    ///
    /// Errors: no thread can be started.
    pub fn start(folder: Arc<Folder>) -> io::Result<Committer> {
        let shared = Arc::new(Shared::default());
        let thread = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("commit".to_owned())
            .spawn(move || run(&folder, &thread))?;
        Ok(Committer { shared })
    }

    /// Whether a write has failed; nothing more is written then.
    pub fn failed(&self) -> bool {
        self.shared.failed.load(Ordering::Relaxed)
    }

    /// Syncs so far and the time they took in all, in microseconds.
    pub fn syncs(&self) -> (u64, u64) {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (load(&self.shared.syncs), load(&self.shared.sync_micros))
    }

    /// Queues encoded records for a file; `done` is called once they are synced.
    pub fn submit(&self, number: Number, bytes: &[u8], done: Done) {
        let mut batch = self.shared.batch.lock();
        match batch.parts.last_mut() {
            Some((last, part)) if *last == number => part.extend_from_slice(bytes),
            _ => batch.parts.push((number, bytes.to_vec())),
        }
        batch.done.push(done);
        self.shared.arrived.notify_one();
    }
}

fn run(folder: &Folder, shared: &Shared) {
    let mut open: Option<(Number, Segment)> = None;
    loop {
        let batch = next(shared);
        let started = Instant::now();
        let written = match shared.failed.load(Ordering::Relaxed) {
            true => false,
            false => write(folder, &mut open, &batch.parts, shared),
        };
        let took = started.elapsed().as_micros() as u64;
        shared.syncs.fetch_add(1, Ordering::Relaxed);
        shared.sync_micros.fetch_add(took, Ordering::Relaxed);
        batch.done.into_iter().for_each(|done| done(written));
    }
}

fn next(shared: &Shared) -> Batch {
    let mut batch = shared.batch.lock();
    while batch.done.is_empty() {
        shared.arrived.wait(&mut batch);
    }
    std::mem::take(&mut *batch)
}

fn write(
    folder: &Folder,
    open: &mut Option<(Number, Segment)>,
    parts: &[(Number, Vec<u8>)],
    shared: &Shared,
) -> bool {
    for (number, bytes) in parts {
        if let Err(error) = write_part(folder, open, *number, bytes) {
            shared.failed.store(true, Ordering::Relaxed);
            log::error!(step = "write log", peer = "disk"; "records can't be written: {error}");
            return false;
        }
    }
    true
}

fn write_part(
    folder: &Folder,
    open: &mut Option<(Number, Segment)>,
    number: Number,
    bytes: &[u8],
) -> io::Result<()> {
    let segment = match open {
        Some((current, segment)) if *current == number => segment,
        _ => &mut open.insert((number, folder.create(number)?)).1,
    };
    segment.append(bytes)
}
