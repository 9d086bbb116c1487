//! Callers that book: a request with an effect, sent again until its outcome is final.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fakes::stats::unix_ms;
use tokio::task::JoinHandle;

use crate::audit::Audit;
use crate::caller::Answer;
use crate::caller::Caller;

/// How long a caller asks for the outcome of one request.
const PATIENCE: Duration = Duration::from_secs(40);

/// Pause before the next try.
const PAUSE: Duration = Duration::from_millis(250);

/// The route to services whose requests may not be repeated.
pub const ROUTE: &str = "book";

/// One customer's callers, one at each entry, and what they were told.
#[derive(Debug, Clone)]
pub struct Bookings {
    pub callers: Vec<Caller>,
    pub audit: Arc<Audit>,
}

impl Bookings {
    /// Callers who haven't booked yet.
    pub fn new(callers: Vec<Caller>) -> Bookings {
        let audit = Arc::default();
        Bookings { callers, audit }
    }

    /// Starts a booking every `interval` and goes on to the end of each.
    pub async fn start(&self, count: usize, interval: Duration) -> Vec<JoinHandle<Answer>> {
        let mut bookings = Vec::new();
        for number in 0..count {
            let callers = self.clone();
            let booking = async move { callers.book(&format!("b{number}"), number).await };
            bookings.push(tokio::spawn(booking));
            tokio::time::sleep(interval).await;
        }
        bookings
    }

    /// Books under one name, from one entry to the next, until the outcome is final.
    pub async fn book(&self, name: &str, first: usize) -> Answer {
        let end = Instant::now() + PATIENCE;
        let mut tries = first;
        loop {
            let answer = self.send(name, tries).await;
            if is_final(&answer) || Instant::now() > end {
                return answer;
            }
            tries += 1;
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Sends a booking once.
    pub async fn send(&self, name: &str, entry: usize) -> Answer {
        let caller = &self.callers[entry % self.callers.len()];
        let sent_ms = unix_ms();
        let answer = caller.plain(ROUTE, name, "{}").await;
        self.audit.note(&what(name), sent_ms, &answer);
        answer
    }
}

/// What the target records of a booking.
pub fn what(name: &str) -> String {
    format!("POST /do/{name}")
}

/// Whether asking again makes no sense.
pub fn is_final(answer: &Answer) -> bool {
    answer.ok() || answer.code() == "outcome-unknown"
}
