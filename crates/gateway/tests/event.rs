//! Events found in the bytes of a stream.

use bytes::Bytes;
use gateway::serve::event;
use gateway::serve::event::Scanner;
use gateway::serve::event::TooLong;
use rstest::rstest;

const STREAM: &[u8] = b"id: 1\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\nid: 3\ndata:\n\n";

#[rstest]
fn events_cut_at_any_byte_come_out_whole_and_unchanged() {
    for cut in 0..=STREAM.len() {
        let mut scanner = Scanner::default();
        let mut output = Vec::new();
        let mut count = 0;
        for piece in [&STREAM[..cut], &STREAM[cut..]] {
            let whole = scanner.push(Bytes::from_static(piece)).expect("short");
            assert!(whole.bytes.is_empty() || whole.bytes.ends_with(b"\n\n"));
            output.extend_from_slice(&whole.bytes);
            count += whole.count;
        }
        assert_eq!(output, STREAM, "cut at {cut}");
        assert_eq!(count, 3);
        assert!(!scanner.is_partial());
    }
}

#[rstest]
fn a_stream_that_stops_in_an_event_is_known_to_be_partial() {
    let mut scanner = Scanner::default();
    let whole = scanner.push(Bytes::from_static(b"id: 1\ndata: one\n\nid: 2\nda"));
    assert_eq!(whole.expect("short").count, 1);
    assert!(scanner.is_partial());
}

#[rstest]
fn an_event_without_an_end_is_refused() {
    let mut scanner = Scanner::default();
    let piece = Bytes::from(vec![b'x'; event::EVENT_LIMIT + 1]);
    assert_eq!(scanner.push(piece), Err(TooLong));
}

#[rstest]
fn data_of_events_is_joined_with_line_feeds() {
    let mut output = Vec::new();
    event::append_data(STREAM, &mut output);
    assert_eq!(output, b"one\ntwo\nlines\n\n");
}

#[rstest]
fn a_line_that_names_a_version_is_no_data() {
    let mut output = Vec::new();
    event::append_data(b"x-weight-versions: 3\nid: 1\ndata: a\n\n", &mut output);
    assert_eq!(output, b"a\n");
}

#[rstest]
#[case(STREAM, Some(&b"3"[..]))]
#[case(b"data: a\n\n", None)]
#[case(b"id: 7\ndata: a\n\ndata: b\n\n", Some(&b"7"[..]))]
fn the_last_id_is_that_of_the_last_event_with_one(
    #[case] events: &[u8],
    #[case] id: Option<&[u8]>,
) {
    assert_eq!(event::last_id(events), id);
}
