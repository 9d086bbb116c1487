//! Counts allocated bytes and processor time of the calling thread.

use std::alloc::System;
use std::hint::black_box;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::StatsAlloc;

/// The allocator that [`bytes`] reads; a binary that measures installs it.
pub static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Processor time that one round of repetitions takes at least.
const ROUND: Duration = Duration::from_millis(8);

/// Rounds, of which the cheapest counts: what other processes disturb only adds.
const ROUNDS: usize = 3;

/// What a closure built, and the bytes that it left allocated.
pub fn bytes<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = live();
    let built = black_box(build());
    (built, (live() - before) as f64)
}

fn live() -> i64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
}

/// Processor time of one repetition, in microseconds.
pub fn micros<T>(mut repeat: impl FnMut() -> T) -> f64 {
    let rounds = (0..ROUNDS).map(|_| round(&mut repeat));
    rounds.fold(f64::INFINITY, f64::min)
}

fn round<T>(repeat: &mut impl FnMut() -> T) -> f64 {
    let start = processor_time();
    let mut count = 0_u32;
    let mut batch = 1;
    loop {
        (0..batch).for_each(|_| {
            black_box(repeat());
        });
        count += batch;
        let spent = processor_time().saturating_sub(start);
        if spent >= ROUND {
            return spent.as_secs_f64() * 1e6 / f64::from(count);
        }
        batch = batch.saturating_mul(2).min(1 << 14);
    }
}

fn processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map(Duration::from)
        .unwrap_or_default()
}
