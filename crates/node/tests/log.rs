//! Log lines when nobody reads them, and when there are too many.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use log::Record;
use node::log::Level;
use node::log::output::BUDGET_PER_S;
use node::log::output::Output;
use rstest::rstest;

/// Whether a sink takes bytes, and those it took.
type Taken = (bool, Vec<u8>);

#[derive(Debug, Clone, Default)]
struct Sink {
    state: Arc<(Mutex<Taken>, Condvar)>,
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
fn a_reader_that_has_stopped_blocks_nobody() {
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
fn lines_are_written_in_order_and_draining_waits_for_them() {
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
fn lines_beyond_the_budget_are_counted_in_a_line() {
    let sink = Sink::default();
    sink.set_open(true);
    let output = Output::start(sink.clone()).expect("thread");
    let line = vec![b'x'; 1_000];
    for _ in 0..BUDGET_PER_S / 1_000 + 50 {
        output.push(&line);
    }
    std::thread::sleep(Duration::from_millis(1_100));
    output.push(b"last\n");
    assert!(output.drain());
    assert!(sink.text().contains("log lines are left out"));
    assert!(sink.text().ends_with("last\n"));
}

/// Loggers flush after each line; that must not wait for the thread that writes.
#[rstest]
fn a_line_costs_its_writer_no_wait_even_if_nobody_reads() {
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
fn a_line_is_one_json_object_whatever_its_texts_hold() {
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
