//! Limit on the number of lines that one place logs.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Allows a number of lines in each second since its creation.
#[derive(Debug)]
pub struct Throttle {
    started: Instant,
    lines_per_second: u32,
    second: AtomicU64,
    lines: AtomicU32,
}

impl Throttle {
    /// A throttle that allows this many lines a second.
    pub fn new(lines_per_second: u32) -> Throttle {
        Throttle {
            started: Instant::now(),
            lines_per_second,
            second: AtomicU64::new(0),
            lines: AtomicU32::new(0),
        }
    }

    /// Whether one more line may be logged now. Threads that call it at the turn of a second may
    /// together log a few lines more.
    pub fn allows(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < self.lines_per_second
    }
}
