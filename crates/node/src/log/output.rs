//! Where log lines go: a bounded buffer that a thread empties.
//!
//! What doesn't fit is left out and counted, as is what goes beyond a budget of bytes a second; the
//! counts are written once there is room again.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;

/// Bytes that wait to be written at most; a second of the budget.
pub const BUFFER_LIMIT: usize = 512 * 1024;

/// Bytes taken in a second at most: some thousand requests' lines.
pub const BUDGET_PER_S: usize = 512 * 1024;

/// Time in which lines gather before they are written together; each time costs a wake-up.
const GATHER: Duration = Duration::from_millis(250);

/// Time for the last lines of a process.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Waiting {
    bytes: Vec<u8>,
    /// Lines left out since the last one that was written.
    omitted: u64,
    /// Start of the second that `taken` is about.
    second: Instant,
    taken: usize,
    writing: bool,
}

#[derive(Debug)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

/// Takes lines without ever blocking.
#[derive(Debug, Clone)]
pub struct Output {
    shared: Arc<Shared>,
}

impl Output {
    /// Starts the thread that writes to `sink`.
    ///
    /// Errors: no thread can be started.
    pub fn start(sink: impl Write + Send + 'static) -> io::Result<Output> {
        let shared = Arc::new(Shared {
            waiting: Mutex::new(Waiting {
                bytes: Vec::new(),
                omitted: 0,
                second: Instant::now(),
                taken: 0,
                writing: false,
            }),
            changed: Condvar::new(),
        });
        let thread = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || empty(&thread, sink))?;
        Ok(Output { shared })
    }

    /// Lines left out that no line tells of yet.
    pub fn omitted(&self) -> u64 {
        self.shared.waiting.lock().omitted
    }
}

impl Waiting {
    fn take(&mut self, line: &[u8]) {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.taken = 0;
        }
        let full = self.bytes.len() + line.len() > BUFFER_LIMIT;
        if full || self.taken + line.len() > BUDGET_PER_S {
            self.omitted += 1;
            return;
        }
        if self.omitted > 0 {
            let told = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines are left out\",\"count\":\"{}\"}}\n",
                self.omitted
            );
            self.bytes.extend_from_slice(told.as_bytes());
            self.omitted = 0;
        }
        self.taken += line.len();
        self.bytes.extend_from_slice(line);
    }
}

impl Output {
    /// Takes a whole line, its end included, or leaves it out and counts it.
    pub fn push(&self, line: &[u8]) {
        let mut waiting = self.shared.waiting.lock();
        let idle = waiting.bytes.is_empty();
        waiting.take(line);
        if idle {
            self.shared.changed.notify_all();
        }
    }

    /// Waits a little until all lines are written; false if the reader took too long.
    pub fn drain(&self) -> bool {
        let until = Instant::now() + DRAIN_TIMEOUT;
        let mut waiting = self.shared.waiting.lock();
        while !waiting.bytes.is_empty() || waiting.writing {
            let waited = self.shared.changed.wait_until(&mut waiting, until);
            if waited.timed_out() {
                return false;
            }
        }
        true
    }
}

fn empty(shared: &Shared, mut sink: impl Write) {
    loop {
        let mut waiting = shared.waiting.lock();
        while waiting.bytes.is_empty() {
            shared.changed.wait(&mut waiting);
        }
        drop(waiting);
        std::thread::sleep(GATHER);
        let mut waiting = shared.waiting.lock();
        let bytes = std::mem::take(&mut waiting.bytes);
        waiting.writing = true;
        drop(waiting);
        // Nobody can be told that the log can't be written.
        let _ = sink.write_all(&bytes).and_then(|()| sink.flush());
        shared.waiting.lock().writing = false;
        shared.changed.notify_all();
    }
}
