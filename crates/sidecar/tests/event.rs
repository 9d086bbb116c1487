//! Decoding of engines' event streams, independent of how the bytes are split.

use rstest::rstest;
use sidecar::event::Decoder;
use sidecar::event::Error;
use sidecar::event::Event;
use sidecar::part::Part;
use sidecar::part::Usage;

const STREAM: &str = concat!(
    ": a comment\n\n",
    "data: {\"id\":\"a1\",\"object\":\"x\",\"choices\":[{\"index\":0,\"delta\":",
    "{\"role\":\"assistant\",\"content\":\"gr\\u00fc\\n\"},\"finish_reason\":null}]}\r\n\r\n",
    "data: {\"id\":\"a1\",\"choices\":[{\"delta\":{\"content\":null},\"finish_reason\":\"stop\"},",
    "{\"delta\":{\"content\":\"other\"}}],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2}}\n\n",
    "data: {\"id\":\"a1\",\"an \\\"odd\\\" key\":1,\"choices\":[],\"usage\":null}\n\n",
    "data: [DONE]\n\n",
);

fn expected() -> Vec<Event> {
    let part = |content: &str, finish: Option<&str>, usage| {
        Event::Part(Part {
            request_id: "a1".to_owned(),
            content: content.to_owned(),
            finish_reason: finish.map(str::to_owned),
            usage,
        })
    };
    let usage = Usage {
        prompt_tokens: 7,
        cached_tokens: 0,
        completion_tokens: 2,
    };
    vec![
        part("gr\u{fc}\n", None, None),
        part("", Some("stop"), Some(usage)),
        part("", None, None),
        Event::Done,
    ]
}

#[rstest]
fn stream_decodes_to_the_same_events_however_it_is_split(
    #[values(1, 2, 3, 7, 64, 4096)] size: usize,
) {
    let mut decoder = Decoder::default();
    let mut events = Vec::new();
    for chunk in STREAM.as_bytes().chunks(size) {
        decoder.push(chunk);
        while let Some(event) = decoder.decode().unwrap() {
            events.push(event);
        }
    }
    assert_eq!(events, expected());
}

#[rstest]
#[case("data: {\"id\":1}\n")]
#[case("data: [1]\n")]
#[case("data: {\"choices\":{}}\n")]
#[case("data: not json\n")]
fn malformed_event_is_an_error(#[case] stream: &str) {
    let mut decoder = Decoder::default();
    decoder.push(stream.as_bytes());
    assert_eq!(decoder.decode(), Err(Error::Malformed));
}

#[test]
fn line_longer_than_the_limit_is_an_error() {
    let mut decoder = Decoder::default();
    decoder.push(&vec![b'x'; 1024 * 1024 + 1]);
    assert_eq!(decoder.decode(), Err(Error::TooLarge));
}
