//! Log output when its reader stops, and when the rate limit is exceeded.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use log::Record;
use node::log::Level;
use node::log::output::BYTES_PER_SECOND_LIMIT;
use node::log::output::Output;
use rstest::rstest;

/// Whether the sink accepts bytes, and the bytes it has received.
type SinkState = (bool, Vec<u8>);

#[derive(Debug, Clone, Default)]
struct Sink {
    state: Arc<(Mutex<SinkState>, Condvar)>,
}

impl Sink {
    fn set_open(&self, open: bool) {
        self.state.0.lock().expect("lock").0 = open;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        let state = self.state.0.lock().expect("lock");
        String::from_utf8(state.1.clone()).expect("text")
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.state.0.lock().expect("lock");
        while !state.0 {
            state = self.state.1.wait(state).expect("lock");
        }
        state.1.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[rstest]
fn a_stopped_reader_does_not_block_writers() {
    let sink = Sink::default();
    let output = Output::start(sink).expect("thread");
    let started = Instant::now();
    for _ in 0..20_000 {
        output.push(&[b'x'; 100]);
    }
    assert!(started.elapsed() < Duration::from_secs(2));
    assert!(output.omitted() > 0);
}

#[rstest]
fn lines_are_written_in_order_and_drain_waits_for_them() {
    let sink = Sink::default();
    sink.set_open(true);
    let output = Output::start(sink.clone()).expect("thread");
    for number in 0..100 {
        output.push(format!("{number}\n").as_bytes());
    }
    assert!(output.drain());
    let expected: String = (0..100).map(|number| format!("{number}\n")).collect();
    assert_eq!(sink.text(), expected);
}

#[rstest]
fn lines_beyond_the_rate_limit_are_reported_in_a_log_line() {
    let sink = Sink::default();
    sink.set_open(true);
    let output = Output::start(sink.clone()).expect("thread");
    let line = vec![b'x'; 1_000];
    for _ in 0..BYTES_PER_SECOND_LIMIT / 1_000 + 50 {
        output.push(&line);
    }
    std::thread::sleep(Duration::from_millis(1_100));
    output.push(b"last\n");
    assert!(output.drain());
    assert!(sink.text().contains("log lines are left out"));
    assert!(sink.text().ends_with("last\n"));
}

/// Loggers flush after each line; the flush must not wait for the writer thread.
#[rstest]
fn logging_does_not_wait_for_a_stopped_reader() {
    let output = Output::start(Sink::default()).expect("thread");
    let dispatch = node::log::dispatch("p", Level::Info, output);
    let (_, logger) = dispatch.into_log();
    let started = Instant::now();
    for _ in 0..1_000 {
        let line = Record::builder()
            .level(log::Level::Info)
            .target("gateway")
            .args(format_args!("answered"))
            .build();
        logger.log(&line);
    }
    assert!(started.elapsed() < Duration::from_secs(1));
}

#[rstest]
fn a_line_is_one_json_object_even_if_its_strings_contain_quotes_and_newlines() {
    let sink = Sink::default();
    sink.set_open(true);
    let output = Output::start(sink.clone()).expect("thread");
    let (_, logger) = node::log::dispatch("p", Level::Info, output.clone()).into_log();
    let fields = [("peer", "a \"quoted\" name\n")];
    let line = Record::builder()
        .level(log::Level::Warn)
        .target("gateway::serve")
        .args(format_args!("cause:\ttab"))
        .key_values(&fields)
        .build();
    logger.log(&line);
    assert!(output.drain());
    let text = sink.text();
    assert_eq!(text.matches('\n').count(), 1, "{text}");
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(value["message"], "cause:\ttab");
    assert_eq!(value["peer"], "a \"quoted\" name\n");
    assert_eq!(value["level"], "WARN");
    assert!(value["at_ms"].as_u64().is_some_and(|at| at > 0));
}
