//! Calls between processes.

use std::time::Duration;

use bytes::Bytes;
use node::link::Link;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Timeout of one call; shorter than the silence timeout after which a connection is reopened.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Reads without answering on the first connection, echoes frames on the second.
async fn peer_that_never_answers_on_its_first_connection(listener: TcpListener) {
    let (mut silent, _) = listener.accept().await.expect("connection");
    tokio::spawn(async move {
        let mut buffer = vec![0; 1_024];
        while silent.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    });
    let (mut stream, _) = listener.accept().await.expect("connection");
    let mut buffer = vec![0; 1_024];
    while let Ok(count) = stream.read(&mut buffer).await
        && count > 0
    {
        stream.write_all(&buffer[..count]).await.expect("write");
    }
}

#[rstest]
#[tokio::test]
async fn a_connection_without_answers_is_reopened_even_if_calls_time_out_sooner() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let link = Link::new(listener.local_addr().expect("address"));
    tokio::spawn(peer_that_never_answers_on_its_first_connection(listener));
    let started = Instant::now();
    while link
        .call(Bytes::from_static(b"hello"), CALL_TIMEOUT)
        .await
        .is_err()
    {
        assert!(started.elapsed() < Duration::from_secs(3));
    }
}
