//! From a request's id to its cause, from log lines alone.

use std::path::Path;
use std::path::PathBuf;

use holds::process::Process;
use rstest::rstest;

use std::time::Duration;

const LINES: &str = concat!(
    r#"{"at_ms":3,"level":"INFO","process":"b","module":"gateway::answer","message":"outcome unknown","step":"answer","peer":"caller","request":"r1","status":"502"}"#,
    "\n",
    r#"  1.5 host {"at_ms":2,"level":"INFO","process":"a","module":"gateway::send","message":"attempt failed","step":"send","peer":"t1","request":"r1"}"#,
    "\n",
    r#"{"at_ms":1,"level":"INFO","process":"a","module":"gateway::answer","message":"answered","step":"answer","request":"r2"}"#,
    "\nno JSON, but r1\n",
    r#"{"at_ms":4,"level":"INFO","process":"a","module":"m","message":"first","step":"reserve","request":"r3"}"#,
    "\n",
    r#"{"at_ms":4,"level":"INFO","process":"a","module":"m","message":"then","step":"answer","request":"r3"}"#,
    "\n",
);

fn folder() -> PathBuf {
    let name = format!("explain-{:016x}", rand::random::<u64>());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("folder");
    folder
}

async fn explain(request: &str) -> (Option<i32>, String) {
    let folder = folder();
    let file = folder.join("lines.log");
    std::fs::write(&file, LINES).expect("file");
    let args = ["explain", request, file.to_str().expect("text")];
    let process = Process::start(&folder, "explain-output", "teasellever-entry", &args);
    let mut process = process.expect("process");
    let status = process.wait(Duration::from_secs(10)).await.expect("end");
    (status.code(), process.output())
}

#[rstest]
#[tokio::test]
async fn lines_of_a_request_are_shown_in_order_of_time() {
    let (code, output) = explain("r1").await;
    assert_eq!(code, Some(0));
    let lines: Vec<&str> = output.lines().collect();
    assert_eq!(lines.len(), 2, "{output}");
    assert!(lines[0].starts_with("2 a gateway::send send: attempt failed"));
    assert!(lines[0].contains("peer=t1"));
    assert!(lines[1].contains("status=502"));
}

#[rstest]
#[tokio::test]
async fn lines_of_one_process_and_millisecond_stay_in_the_order_of_its_log() {
    let (code, output) = explain("r3").await;
    assert_eq!(code, Some(0));
    let lines: Vec<&str> = output.lines().collect();
    assert!(lines[0].contains("reserve: first"), "{output}");
    assert!(lines[1].contains("answer: then"), "{output}");
}

#[rstest]
#[tokio::test]
async fn a_request_that_no_line_names_is_said_to_be_unknown() {
    let (code, output) = explain("r9").await;
    assert_eq!(code, Some(4));
    assert!(output.contains("r9"));
}
