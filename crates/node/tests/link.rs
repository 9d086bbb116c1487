//! Calls between processes.

use std::time::Duration;

use bytes::Bytes;
use node::link::Link;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Time for one call, shorter than the silence that breaks a connection.
const CALL: Duration = Duration::from_millis(400);

/// Reads forever on its first connection, and echoes frames on later ones.
async fn peer_with_a_dead_connection(listener: TcpListener) {
    let (mut dead, _) = listener.accept().await.expect("connection");
    tokio::spawn(async move {
        let mut buffer = vec![0; 1_024];
        while dead.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
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
async fn a_connection_on_which_nothing_is_answered_is_opened_anew_whatever_the_time_of_a_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let link = Link::new(listener.local_addr().expect("address"));
    tokio::spawn(peer_with_a_dead_connection(listener));
    let started = Instant::now();
    while link.call(Bytes::from_static(b"hello"), CALL).await.is_err() {
        assert!(started.elapsed() < Duration::from_secs(3));
    }
}
