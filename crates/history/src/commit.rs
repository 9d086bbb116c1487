//! Group commit: one thread writes and syncs all records submitted since its last sync, then calls
//! their callbacks.

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
use crate::volume::Volume;

/// Called with whether the records were written and synced.
pub type Callback = Box<dyn FnOnce(bool) + Send>;

#[derive(Default)]
struct Batch {
    /// Encoded records and the files to append them to, in order of submission.
    parts: Vec<(Number, Vec<u8>)>,
    callbacks: Vec<Callback>,
    /// Files to remove.
    expired: Vec<Number>,
    /// Changes of whether the host retires.
    retiring: Vec<(bool, Callback)>,
    /// Whether the handle was dropped, so that this batch is the last one.
    last: bool,
}

#[derive(Default)]
struct Shared {
    batch: Mutex<Batch>,
    submitted: Condvar,
    failed: AtomicBool,
    /// Number of submissions written, in order of submission.
    written: AtomicU64,
    syncs: AtomicU64,
    sync_micros: AtomicU64,
}

/// Handle of the thread that writes a disk's log; the thread ends after the handle was dropped.
pub struct Committer {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Committer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Committer").finish_non_exhaustive()
    }
}

impl Drop for Committer {
    fn drop(&mut self) {
        self.shared.batch.lock().last = true;
        self.shared.submitted.notify_one();
    }
}

impl Committer {
    /// Starts the commit thread, with the file that is written first.
    ///
    /// Errors: the thread can't be started.
    pub fn start<V: Volume>(
        folder: Arc<Folder<V>>,
        number: Number,
        segment: Segment<V::File>,
    ) -> io::Result<Committer> {
        let shared = Arc::new(Shared::default());
        let thread_shared = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("commit".to_owned())
            .spawn(move || run(&folder, (number, segment), &thread_shared))?;
        Ok(Committer { shared })
    }

    /// Whether a write has failed; all later writes fail too.
    pub fn failed(&self) -> bool {
        self.shared.failed.load(Ordering::Relaxed)
    }

    /// Number of submissions that were written and synced; later ones may be missing in the files.
    pub fn written(&self) -> u64 {
        self.shared.written.load(Ordering::Acquire)
    }

    /// Number of syncs since the start and their total duration in microseconds.
    pub fn syncs(&self) -> (u64, u64) {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (load(&self.shared.syncs), load(&self.shared.sync_micros))
    }

    /// Queues encoded records for a file; `callback` is called once they are synced or have failed.
    pub fn submit(&self, number: Number, bytes: Vec<u8>, callback: Callback) {
        let mut batch = self.shared.batch.lock();
        match batch.parts.last_mut() {
            Some((last, part)) if *last == number => part.extend_from_slice(&bytes),
            _ => batch.parts.push((number, bytes)),
        }
        batch.callbacks.push(callback);
        self.shared.submitted.notify_one();
    }

    /// Queues the change of whether the host retires; `callback` is called once it is synced or has
    /// failed.
    pub fn set_retiring(&self, retiring: bool, callback: Callback) {
        self.shared.batch.lock().retiring.push((retiring, callback));
        self.shared.submitted.notify_one();
    }

    /// Queues the removal of log files; they are kept unless all records submitted before are synced.
    pub fn remove(&self, numbers: Vec<Number>) {
        self.shared.batch.lock().expired.extend(numbers);
        self.shared.submitted.notify_one();
    }
}

fn run<V: Volume>(folder: &Folder<V>, mut open: (Number, Segment<V::File>), shared: &Shared) {
    loop {
        let batch = wait_for_batch(shared);
        if !batch.callbacks.is_empty() {
            let started = Instant::now();
            let written = match shared.failed.load(Ordering::Relaxed) {
                true => false,
                false => write(folder, &mut open, &batch.parts, shared),
            };
            let elapsed = started.elapsed().as_micros() as u64;
            shared.syncs.fetch_add(1, Ordering::Relaxed);
            shared.sync_micros.fetch_add(elapsed, Ordering::Relaxed);
            if written {
                let submissions = batch.callbacks.len() as u64;
                shared.written.fetch_add(submissions, Ordering::Release);
            }
            batch
                .callbacks
                .into_iter()
                .for_each(|callback| callback(written));
        }
        for (retiring, callback) in batch.retiring {
            callback(set_retiring(folder, retiring));
        }
        // The records that replace those in the removed files are synced only if no write has failed.
        if !shared.failed.load(Ordering::Relaxed) {
            remove_files(folder, &batch.expired);
        }
        if batch.last {
            return;
        }
    }
}

fn wait_for_batch(shared: &Shared) -> Batch {
    let mut batch = shared.batch.lock();
    while batch.callbacks.is_empty()
        && batch.expired.is_empty()
        && batch.retiring.is_empty()
        && !batch.last
    {
        shared.submitted.wait(&mut batch);
    }
    std::mem::take(&mut *batch)
}

fn set_retiring<V: Volume>(folder: &Folder<V>, retiring: bool) -> bool {
    match folder.set_retiring(retiring) {
        Ok(()) => true,
        Err(error) => {
            log::error!(
                step = "store retirement", peer = "disk", retiring = retiring;
                "folder can't be written: {error}"
            );
            false
        }
    }
}

fn remove_files<V: Volume>(folder: &Folder<V>, numbers: &[Number]) {
    for number in numbers {
        if let Err(error) = folder.remove(*number) {
            log::warn!(
                step = "remove log file", peer = "disk", file = number.0;
                "log file can't be removed: {error}"
            );
        }
    }
}

fn write<V: Volume>(
    folder: &Folder<V>,
    open: &mut (Number, Segment<V::File>),
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

fn write_part<V: Volume>(
    folder: &Folder<V>,
    open: &mut (Number, Segment<V::File>),
    number: Number,
    bytes: &[u8],
) -> io::Result<()> {
    if open.0 != number {
        *open = (number, folder.create(number)?);
    }
    open.1.append(bytes)
}
