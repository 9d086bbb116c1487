//! Count of requests within a sliding span of time.

use coord::time::Millis;
use coord::time::Time;

/// Number and length of the parts into which the span is divided.
const SLOTS: usize = 16;
const SLOT: Millis = Millis(250);

/// Length of the span.
pub const SPAN: Millis = Millis(SLOT.0 * SLOTS as u64);

/// Requests of the last [`SPAN`], to within one slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct Window {
    slots: [u32; SLOTS],
    /// Number of the newest slot since the time began.
    newest: u64,
}

impl Window {
    /// Adds requests.
    pub fn add(&mut self, requests: u32, now: Time) {
        let number = now.0 / SLOT.0;
        let passed = number.saturating_sub(self.newest).min(SLOTS as u64);
        for offset in 1..=passed {
            self.slots[slot(self.newest + offset)] = 0;
        }
        self.newest = self.newest.max(number);
        let slot = &mut self.slots[slot(number)];
        *slot = slot.saturating_add(requests);
    }

    /// Number of requests within the span.
    pub fn sum(&self, now: Time) -> u32 {
        let number = now.0 / SLOT.0;
        let oldest = (number + 1).saturating_sub(SLOTS as u64);
        let numbers = oldest..=self.newest.min(number);
        numbers.map(|number| self.slots[slot(number)]).sum()
    }
}

/// Index of a slot by its number.
fn slot(number: u64) -> usize {
    (number % SLOTS as u64) as usize
}
