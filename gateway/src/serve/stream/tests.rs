use super::{EventSplitter, append_data};
use crate::serve::http::Framing;
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

/// Returns whether a stream of these bytes that has ended counts as complete.
fn is_complete(bytes: &[u8], framing: Framing) -> bool {
    let mut splitter = EventSplitter::default();
    splitter.push(bytes);
    let mut has_data_events = false;
    while let Some(event) = splitter.next_event() {
        has_data_events |= append_data(&event, &mut Vec::new());
    }
    splitter.check_end(framing, has_data_events).is_ok()
}

// Guards against a stream that was broken off counting as complete because its body ended properly.
#[googletest::test]
fn a_stream_that_ends_inside_an_event_is_incomplete_in_any_framing() {
    let complete = [
        &b"id: 1\ndata: a\n\n"[..],
        b"id: 1\r\ndata: a\r\n\r\n",
        b"id: 1\rdata: a\r\r",
        b"data: a\n\n\n",
        b"data: a\n\n: a comment\n\n",
    ];
    let cut = [
        &b"data: a\n\nid: 2"[..],
        b"data: a\n\nid: 2\ndata: b",
        b"data: a\n\nid: 2\ndata: b\n",
        b"data: a\r\n\r\ndata: b\r\n",
        b"d",
    ];
    for framing in [Framing::Chunked, Framing::Length(30), Framing::UntilClose] {
        for bytes in complete {
            expect_that!(
                is_complete(bytes, framing),
                eq(true),
                "{framing}, {bytes:?}"
            );
        }
        for bytes in cut {
            expect_that!(
                is_complete(bytes, framing),
                eq(false),
                "{framing}, {bytes:?}"
            );
        }
    }
}

// Guards against an unframed stream without any answer counting as complete.
#[googletest::test]
fn a_stream_without_events_is_complete_only_if_it_is_framed() {
    for framing in [Framing::Chunked, Framing::Empty] {
        expect_that!(is_complete(b"", framing), eq(true), "{framing}");
    }
    for bytes in [&b""[..], b"\n", b": a comment\n\n"] {
        expect_that!(
            is_complete(bytes, Framing::UntilClose),
            eq(false),
            "{bytes:?}"
        );
    }
}
