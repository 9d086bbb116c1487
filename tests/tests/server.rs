//! What the callers' HTTP server itself must do, whatever the library behind it.

use std::time::Duration;

use holds::fleet::Fleet;
use holds::plan::Plan;
use http::Method;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Longest time for which a connection without a request is kept.
const SILENCE_LIMIT: Duration = Duration::from_secs(45);

async fn start() -> eyre::Result<Fleet> {
    Fleet::start(&Plan {
        engines: 0,
        tools: 1,
        ..Plan::default()
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_path_or_method_carries_code_and_ran() -> eyre::Result<()> {
    let fleet = start().await?;
    let caller = fleet.caller(0, "large");
    for (method, path) in [
        (Method::GET, "/nothing"),
        (Method::DELETE, "/v1/chat/completions"),
    ] {
        let answer = caller.call(method, path, "").await;
        assert!(!answer.code().is_empty(), "{path}: {answer:?}");
        assert_eq!(answer.ran(), "no", "{path}: {answer:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_stays_silent_is_closed() -> eyre::Result<()> {
    let fleet = start().await?;
    let mut stream = TcpStream::connect(fleet.entries[0].callers).await?;
    let mut answer = Vec::new();
    tokio::time::timeout(SILENCE_LIMIT, stream.read_to_end(&mut answer)).await??;
    Ok(())
}
