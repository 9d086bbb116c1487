//! Settings files are checked whole and errors name file, line and field.

use std::path::Path;

use entry::settings::Settings;
use node::settings::Error;
use node::settings::load;
use node::settings::parse;
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../examples/entry.jsonc");

fn altered(from: &str, to: &str) -> Error {
    assert!(EXAMPLE.contains(from));
    let text = EXAMPLE.replacen(from, to, 1);
    parse::<Settings>(Path::new("entry.jsonc"), &text).expect_err("refused")
}

#[test]
fn the_commented_example_loads() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/entry.jsonc");
    let settings = load::<Settings>(&file).expect("the example is sound");
    assert_eq!(settings.node.as_str(), "entry-1");
    assert!(settings.operators[0].verify("example-operator"));
    assert!(!settings.operators[0].verify("another"));
}

#[rstest]
#[case("\"duration_ms\"", "\"duration\"", "lease.duration", "unknown field")]
#[case("\"callers\":", "\"caller\":", "listen.caller", "unknown field")]
#[case("6000", "\"6s\"", "lease.duration_ms", "invalid type")]
#[case(
    "\"margin_ms\": 300",
    "\"margin_ms\": 2500",
    "lease.margin_ms",
    "under a third"
)]
#[case("127.0.0.1:8082", "127.0.0.1:8081", "listen.admin", "same address")]
#[case("127.0.0.1:8081", "0.0.0.0:8081", "listen.peers", "reach")]
#[case("http://127.0.0.1:7000", "127.0.0.1:7000", "platform", "http://")]
#[case(
    "\"retention_ms\": 600000",
    "\"retention_ms\": 1",
    "limits.retention_ms",
    "shorter"
)]
#[case(
    "\"body_bytes\": 2097152",
    "\"body_bytes\": 99999999",
    "limits.body_bytes",
    "bytes"
)]
fn a_wrong_field_is_named_with_its_line(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] message: &str,
) {
    let error = altered(from, to);
    let line = 1 + EXAMPLE[..EXAMPLE.find(from).expect("stands in the file")]
        .matches('\n')
        .count();
    assert_eq!(error.field, field, "{error}");
    assert_eq!(error.line, Some(line), "{error}");
    assert!(error.message.contains(message), "{error}");
    assert!(error.to_string().starts_with("entry.jsonc:"), "{error}");
}

#[test]
fn a_syntax_error_names_its_line() {
    let error = altered("\"node\": \"entry-1\",", "\"node\" \"entry-1\",");
    assert_eq!(error.line, Some(4), "{error}");
}
