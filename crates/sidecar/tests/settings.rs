//! Validation of settings files: an error names the invalid field.

use std::path::Path;

use node::settings::load;
use node::settings::parse;
use rstest::rstest;
use sidecar::settings::Settings;

const EXAMPLE: &str = include_str!("../../../examples/sidecar.jsonc");

#[test]
fn commented_example_file_loads() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/sidecar.jsonc");
    let settings = load::<Settings>(&file).expect("the example is valid");
    assert_eq!(settings.target.as_str(), "engine-1");
}

#[rstest]
#[case("\"slots\"", "\"slot\"", "limits.slot", "unknown field")]
#[case("\"slots\": 16", "\"slots\": 0", "limits.slots", "no request")]
#[case("127.0.0.1:8092", "127.0.0.1:8091", "listen.admin", "same address")]
#[case("\"http://127.0.0.1:9000\"", "\"ftp://127.0.0.1\"", "url", "http://")]
fn error_names_the_invalid_field(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] message: &str,
) {
    let text = EXAMPLE.replacen(from, to, 1);
    let error = parse::<Settings>(Path::new("sidecar.jsonc"), &text).expect_err("refused");
    assert_eq!(error.field, field, "{error}");
    assert!(error.message.contains(message), "{error}");
}
