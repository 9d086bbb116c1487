//! End of a graceful shutdown, by which answers must have been sent.

use tokio::sync::watch;
use tokio::time::Instant;

/// Limit for answers, once a graceful shutdown takes no more requests.
#[derive(Debug, Default)]
pub struct Stop {
    limit: watch::Sender<Option<Instant>>,
}

impl Stop {
    /// Sets the limit; from now on, [`Stop::permits`] rejects what may take longer.
    pub fn set_limit(&self, limit: Instant) {
        self.limit.send_replace(Some(limit));
    }

    /// Whether a request may be passed on whose answer is awaited until `deadline`.
    pub fn permits(&self, deadline: Instant) -> bool {
        self.limit.borrow().is_none_or(|limit| deadline <= limit)
    }

    /// Waits until the limit has passed.
    pub async fn passed(&self) {
        let mut limits = self.limit.subscribe();
        let limit = limits.wait_for(Option::is_some).await;
        match limit.map(|limit| *limit) {
            Ok(Some(limit)) => tokio::time::sleep_until(limit).await,
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }
}
