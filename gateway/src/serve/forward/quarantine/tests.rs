use super::fingerprints;
use crate::serve::http::{RequestHead, parse_request};
use galenapick::crashes::PREFIX_BYTES;
use googletest::prelude::*;

fn head(start: &str, headers: &str) -> RequestHead {
    let text = format!("{start} HTTP/1.1\r\nHost: Site.Example:80\r\n{headers}\r\n");
    let parsed = parse_request(text.as_bytes()).expect("a valid head");
    parsed.expect("a complete head").0
}

#[googletest::test]
fn a_fingerprint_is_that_of_the_client_account_the_target_and_the_body_or_its_beginning() {
    let ids = "Request-Name: a\r\nProgram-Name: p\r\nEarlier-Turn: t\r\n";
    let other_ids = "Request-Name: b\r\nProgram-Name: q\r\n";
    let copy = fingerprints(&head("POST /turns/x", ids), b"body");
    let [prefix, request] = copy;
    expect_that!(
        fingerprints(&head("POST /turns/x", other_ids), b"body"),
        eq(copy)
    );
    let other_body = fingerprints(&head("POST /turns/x", ids), b"other");
    expect_that!(other_body[0], not(eq(prefix)));
    expect_that!(other_body[1], not(eq(request)));
    let long = [b'x'; PREFIX_BYTES + 1];
    let [prefix_of_long, long_request] = fingerprints(&head("POST /turns/x", ids), &long);
    let shorter = fingerprints(&head("POST /turns/x", ids), &long[1..]);
    expect_that!(shorter[0], eq(prefix_of_long));
    expect_that!(shorter[1], not(eq(long_request)));
    for other in [
        fingerprints(&head("POST /turns/y", ids), b"body"),
        fingerprints(&head("PUT /turns/x", ids), b"body"),
        fingerprints(&head("POST /turns/x", "Authorization: a\r\n"), b"body"),
    ] {
        expect_that!(other[0], not(eq(prefix)));
        expect_that!(other[1], not(eq(request)));
    }
}
