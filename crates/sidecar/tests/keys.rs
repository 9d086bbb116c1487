//! Callers' keys are never sent to a target.

mod support;

use rstest::rstest;
use support::*;
use wire::Header;
use wire::Ran;
use wire::Start;
use wire::start::Work;

const KEY: &str = "tk.office.00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn with_headers(start: Start, headers: &[(&str, &str)]) -> Start {
    let headers = headers.iter().map(|(name, value)| Header {
        name: (*name).to_owned(),
        value: value.as_bytes().to_vec().into(),
    });
    match start.work {
        Some(Work::Plain(mut work)) => {
            work.headers = headers.collect();
            Start {
                work: Some(Work::Plain(work)),
                ..start
            }
        }
        _ => start,
    }
}

#[rstest]
#[case("authorization", &format!("Bearer {KEY}"))]
#[case("Authorization", KEY)]
#[case("x-api-key", KEY)]
#[case("proxy-authorization", KEY)]
#[tokio::test]
async fn credential_headers_are_dropped(#[case] name: &str, #[case] value: &str) {
    let tool = tool(Default::default()).await;
    let (_daemon, client) = sidecar_for_tool(&tool).await;
    let start = plain("a1", "POST", "/fee", "1");
    let start = with_headers(start, &[(name, value), ("x-kept", "yes")]);
    assert!(client.run(start).await.is_done());
    assert_eq!(tool.stats.counts().list.len(), 1);
    assert!(tool.stats.counts().keys_seen.is_empty());
}

#[rstest]
#[case::header(with_headers(plain("a1", "POST", "/fee", "1"), &[("cookie", KEY)]))]
#[case::path(plain("a1", "POST", &format!("/fee?key={KEY}"), "1"))]
#[case::encoded_path(plain("a1", "POST", &format!("/fee?key={}", KEY.replace('.', "%2E")), "1"))]
#[case::body(plain("a1", "POST", "/fee", &format!("{{\"key\":\"{KEY}\"}}")))]
#[tokio::test]
async fn request_with_a_key_outside_credential_headers_is_refused_and_not_run(
    #[case] start: Start,
) {
    let tool = tool(Default::default()).await;
    let (_daemon, client) = sidecar_for_tool(&tool).await;
    let answer = client.run(start).await;
    assert_eq!(answer.refusal().code, "bad-request");
    assert_eq!(answer.refusal().ran(), Ran::No);
    assert!(!answer.refusal().message.contains(KEY));
    assert!(tool.stats.counts().list.is_empty());
    assert!(tool.stats.counts().keys_seen.is_empty());
}

#[tokio::test]
async fn messages_with_a_key_are_refused_and_not_run() {
    let engine = engine(Default::default()).await;
    let (_daemon, client) = sidecar_for_engine(&engine).await;
    let answer = client
        .run(generate("a1", &format!("my key is {KEY}")))
        .await;
    assert_eq!(answer.refusal().code, "bad-request");
    assert!(engine.stats.counts().list.is_empty());
    assert!(engine.stats.counts().keys_seen.is_empty());
}

#[test]
fn key_is_found_between_bytes_that_are_not_utf8() {
    let bytes = [&[0xff, 0xfe], KEY.as_bytes(), &[0xff]].concat();
    assert!(sidecar::key::contains_key(&bytes));
}

#[rstest]
#[case("https://gtk.org/tk.example.com")]
#[case("tk.office")]
#[case("see tk.a.b")]
fn text_that_only_resembles_a_key_is_accepted(#[case] text: &str) {
    assert!(!sidecar::key::contains_key(text.as_bytes()));
}
