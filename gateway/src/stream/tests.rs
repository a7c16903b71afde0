use super::{EventSplitter, append_data};
use googletest::prelude::*;

#[googletest::test]
fn events_are_split_for_any_chunk_size() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3";
    for size in 1..stream.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for bytes in stream.chunks(size) {
            splitter.push(bytes);
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
        }
        let expected = [&b"id: 1\ndata: a\n\n"[..], b"id: 2\r\ndata: b\r\n\r\n"];
        expect_that!(events, eq(&expected), "{size}");
        expect_that!(splitter.rest(), eq(&b"id: 3"[..]));
    }
}

// Guards against events of an engine that ends its lines with a bare carriage return being held
// until the end of the stream and stored as one line.
#[googletest::test]
fn events_may_end_with_bare_carriage_returns() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r");
    let mut text = Vec::new();
    while let Some(event) = splitter.next_event() {
        append_data(&event, &mut text);
    }
    expect_that!(text, eq(b"a\nb\n"));
    expect_that!(splitter.rest(), is_empty());
}

#[googletest::test]
fn data_of_each_event_is_appended_with_a_line_feed() {
    let mut text = b"input".to_vec();
    expect_that!(
        append_data(b"x-versions: 3\nid: 1\ndata: a b\n\n", &mut text),
        eq(true)
    );
    expect_that!(append_data(b"data:c\ndata: d\r\n\r\n", &mut text), eq(true));
    expect_that!(append_data(b": a comment\n\n", &mut text), eq(false));
    expect_that!(text, eq(b"inputa b\nc\nd\n"));
}
