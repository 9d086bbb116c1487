//! Planned shutdown of a process on SIGTERM or SIGINT.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Resolves on the first SIGTERM or SIGINT.
///
/// Errors: signal handlers can't be installed.
pub async fn requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
