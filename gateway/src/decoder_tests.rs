//! Properties of all decoders that read what others send: arbitrary bytes break nothing, and how the
//! bytes are split into reads changes nothing.

use crate::fleet::gossip::is_readable_heartbeat;
use crate::serve::http::{BodyDecoder, BodyError, Framing, parse_request, parse_response};
use crate::serve::stream::{EventSplitter, append_data, event_id};
use crate::turns::ledger::{OwnerReply, OwnerRequest};
use crate::turns::record::{GatewayRecord, QuarantineRecord, TurnRecord, decode};
use galenapick::crashes::CrashReport;
use proptest::prelude::*;

/// Returns the body and the outcome of decoding `input` in reads that end at `ends`.
fn decode_body(
    framing: Framing,
    input: &[u8],
    ends: &[usize],
) -> (Vec<u8>, Result<bool, BodyError>) {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    let mut unread = Vec::new();
    let mut start = 0;
    for end in ends.iter().copied().chain([input.len()]) {
        unread.extend_from_slice(&input[start..end]);
        start = end;
        match decoder.decode(&unread, &mut body) {
            Ok(used) => unread.drain(..used),
            Err(error) => return (body, Err(error)),
        };
    }
    (body, Ok(decoder.is_done()))
}

/// Returns the events of a stream that arrives in reads that end at `ends`, and the bytes after them.
fn split_events(input: &[u8], ends: &[usize]) -> (Vec<Vec<u8>>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut start = 0;
    for end in ends.iter().copied().chain([input.len()]) {
        splitter.push(&input[start..end]);
        start = end;
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.rest().to_vec())
}

/// Ends of reads within an input of this length.
fn read_ends(length: usize, shares: &[prop::sample::Index]) -> Vec<usize> {
    let mut ends: Vec<usize> = shares.iter().map(|share| share.index(length + 1)).collect();
    ends.sort_unstable();
    ends
}

/// Bytes that often occur in heads, chunks and events.
fn protocol_bytes() -> impl Strategy<Value = Vec<u8>> {
    let word = prop_oneof![
        Just(b"HTTP/1.1 200 OK\r\n".to_vec()),
        Just(b"HTTP/1.1 102 Processing\r\n\r\n".to_vec()),
        Just(b"POST /x HTTP/1.1\r\nHost: x\r\n".to_vec()),
        Just(b"Content-Length: 3\r\n".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"\n\n".to_vec()),
        Just(b"\r\r".to_vec()),
        Just(b"3\r\nabc\r\n".to_vec()),
        Just(b"0\r\n\r\n".to_vec()),
        Just(b"data: x\n".to_vec()),
        Just(b"id: 18446744073709551616\n".to_vec()),
        prop::collection::vec(any::<u8>(), 0..6),
    ];
    prop::collection::vec(word, 0..12).prop_map(|words| words.concat())
}

fn framing() -> impl Strategy<Value = Framing> {
    prop_oneof![
        Just(Framing::Empty),
        (0_u64..20).prop_map(Framing::Length),
        Just(Framing::Length(u64::MAX)),
        Just(Framing::Chunked),
        Just(Framing::UntilClose),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    // Guards against a body that depends on how the network split it.
    #[test]
    fn a_body_does_not_depend_on_the_reads(
        framing in framing(),
        input in protocol_bytes(),
        shares in prop::collection::vec(any::<prop::sample::Index>(), 0..5),
    ) {
        let ends = read_ends(input.len(), &shares);
        let whole = decode_body(framing, &input, &[]);
        prop_assert_eq!(decode_body(framing, &input, &ends), whole);
    }

    // Guards against events that depend on how the network split them, or lose bytes.
    #[test]
    fn events_do_not_depend_on_the_reads(
        input in protocol_bytes(),
        shares in prop::collection::vec(any::<prop::sample::Index>(), 0..5),
    ) {
        let ends = read_ends(input.len(), &shares);
        let (events, rest) = split_events(&input, &[]);
        prop_assert_eq!(split_events(&input, &ends), (events.clone(), rest.clone()));
        prop_assert_eq!([events.concat(), rest].concat(), input);
        for event in events {
            event_id(&event);
            append_data(&event, &mut Vec::new());
        }
    }

    // Guards against a head or a message that panics the process.
    #[test]
    fn arbitrary_bytes_break_no_decoder(input in protocol_bytes(), noise in any::<Vec<u8>>()) {
        for bytes in [&input, &noise] {
            if let Ok(Some((_, length))) = parse_request(bytes) {
                prop_assert!(length <= bytes.len());
            }
            if let Ok(Some((_, length))) = parse_response(bytes) {
                prop_assert!(length <= bytes.len());
            }
            is_readable_heartbeat(bytes);
            let _ = decode::<TurnRecord>(bytes);
            let _ = decode::<GatewayRecord>(bytes);
            let _ = decode::<QuarantineRecord>(bytes);
            let _ = decode::<Vec<CrashReport>>(bytes);
            let _ = decode::<OwnerRequest>(bytes);
            let _ = decode::<OwnerReply>(bytes);
        }
    }
}
