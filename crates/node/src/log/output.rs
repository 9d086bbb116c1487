//! Output of log lines: a bounded buffer that a separate thread writes out.
//!
//! Lines that don't fit into the buffer or exceed the rate limit are omitted and counted. The count
//! is written before the next line that is accepted.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;

/// Size of the buffer, in bytes; one second at the rate limit.
pub const BUFFER_LIMIT: usize = 512 * 1024;

/// Rate limit in bytes per second; enough for the lines of some thousand requests.
pub const BYTES_PER_SECOND_LIMIT: usize = 512 * 1024;

/// Time in which lines are collected into one write; each write costs a wake-up.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Longest time that [`Output::drain`] waits for the last lines of a process.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines omitted since the last accepted line.
    omitted: u64,
    /// Start of the current second of the rate limit.
    second_start: Instant,
    /// Bytes accepted in the current second.
    accepted: usize,
    writing: bool,
}

#[derive(Debug)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
}

/// Accepts lines without blocking on the sink.
#[derive(Debug, Clone)]
pub struct Output {
    shared: Arc<Shared>,
}

impl Output {
    /// Starts the thread that writes to `sink`.
    ///
    /// Errors: the thread can't be started.
    pub fn start(sink: impl Write + Send + 'static) -> io::Result<Output> {
        let shared = Arc::new(Shared {
            buffer: Mutex::new(Buffer {
                bytes: Vec::new(),
                omitted: 0,
                second_start: Instant::now(),
                accepted: 0,
                writing: false,
            }),
            changed: Condvar::new(),
        });
        let thread = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&thread, sink))?;
        Ok(Output { shared })
    }

    /// Number of omitted lines not yet reported in the output.
    pub fn omitted(&self) -> u64 {
        self.shared.buffer.lock().omitted
    }
}

impl Buffer {
    fn push(&mut self, line: &[u8]) {
        if self.second_start.elapsed() >= Duration::from_secs(1) {
            self.second_start = Instant::now();
            self.accepted = 0;
        }
        let full = self.bytes.len() + line.len() > BUFFER_LIMIT;
        if full || self.accepted + line.len() > BYTES_PER_SECOND_LIMIT {
            self.omitted += 1;
            return;
        }
        if self.omitted > 0 {
            let notice = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines are left out\",\"count\":\"{}\"}}\n",
                self.omitted
            );
            self.bytes.extend_from_slice(notice.as_bytes());
            self.omitted = 0;
        }
        self.accepted += line.len();
        self.bytes.extend_from_slice(line);
    }
}

impl Output {
    /// Accepts a whole line, including its newline, or omits and counts it.
    pub fn push(&self, line: &[u8]) {
        let mut buffer = self.shared.buffer.lock();
        let was_empty = buffer.bytes.is_empty();
        buffer.push(line);
        if was_empty {
            self.shared.changed.notify_all();
        }
    }

    /// Waits at most `DRAIN_TIMEOUT` until all lines are written; returns false on timeout.
    pub fn drain(&self) -> bool {
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        let mut buffer = self.shared.buffer.lock();
        while !buffer.bytes.is_empty() || buffer.writing {
            let result = self.shared.changed.wait_until(&mut buffer, deadline);
            if result.timed_out() {
                return false;
            }
        }
        true
    }
}

fn write_lines(shared: &Shared, mut sink: impl Write) {
    loop {
        let mut buffer = shared.buffer.lock();
        while buffer.bytes.is_empty() {
            shared.changed.wait(&mut buffer);
        }
        drop(buffer);
        std::thread::sleep(BATCH_DELAY);
        let mut buffer = shared.buffer.lock();
        let bytes = std::mem::take(&mut buffer.bytes);
        buffer.writing = true;
        drop(buffer);
        // A failure to write the log can't be logged.
        let _ = sink.write_all(&bytes).and_then(|()| sink.flush());
        shared.buffer.lock().writing = false;
        shared.changed.notify_all();
    }
}
