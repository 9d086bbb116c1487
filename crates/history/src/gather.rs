//! Concurrent calls to several hosts of which some may not answer.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;

/// Time for which further answers are awaited once enough have been received. Hosts that are reached
/// answer within it; one that is cut off takes seconds to fail.
const GRACE: Duration = Duration::from_millis(400);

/// Runs calls concurrently and returns the results of those that succeeded; leaves out those that take
/// longer than [`GRACE`] after `needed` have succeeded. These continue in the background.
pub async fn gather<T, F>(calls: impl IntoIterator<Item = F>, needed: usize) -> Vec<T>
where
    T: Send + 'static,
    F: Future<Output = Option<T>> + Send + 'static,
{
    let mut running: FuturesUnordered<_> = calls.into_iter().map(tokio::spawn).collect();
    let mut results = Vec::new();
    let mut end = None;
    loop {
        let finished = match end {
            None => running.next().await,
            Some(end) => match tokio::time::timeout_at(end, running.next()).await {
                Ok(finished) => finished,
                Err(_) => return results,
            },
        };
        match finished {
            None => return results,
            Some(Ok(result)) => results.extend(result),
            Some(Err(error)) => {
                log::error!(step = "call hosts", peer = "history"; "call ended abnormally: {error}");
            }
        }
        if results.len() >= needed && end.is_none() {
            end = Some(Instant::now() + GRACE);
        }
    }
}
