use super::fingerprints;
use crate::routes::Account;
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
    let copy = fingerprints(&head("POST /turns/x", ids), b"body", None);
    let [prefix, request] = copy;
    expect_that!(
        fingerprints(&head("POST /turns/x", other_ids), b"body", None),
        eq(copy)
    );
    let other_body = fingerprints(&head("POST /turns/x", ids), b"other", None);
    expect_that!(other_body[0], not(eq(prefix)));
    expect_that!(other_body[1], not(eq(request)));
    let long = [b'x'; PREFIX_BYTES + 1];
    let [prefix_of_long, long_request] = fingerprints(&head("POST /turns/x", ids), &long, None);
    let shorter = fingerprints(&head("POST /turns/x", ids), &long[1..], None);
    expect_that!(shorter[0], eq(prefix_of_long));
    expect_that!(shorter[1], not(eq(long_request)));
    for other in [
        fingerprints(&head("POST /turns/y", ids), b"body", None),
        fingerprints(&head("PUT /turns/x", ids), b"body", None),
        fingerprints(
            &head("POST /turns/x", "Authorization: a\r\n"),
            b"body",
            None,
        ),
    ] {
        expect_that!(other[0], not(eq(prefix)));
        expect_that!(other[1], not(eq(request)));
    }
}

// Guards against an account whose requests are refused because another account's crash endpoints.
#[googletest::test]
fn accounts_do_not_share_fingerprints() {
    let account = |name: &str| Account {
        name: name.into(),
        keys: Vec::new(),
        priority: None,
        quota: None,
    };
    let head = head("POST /turns/x", "");
    let of = |account: Option<&Account>| fingerprints(&head, b"body", account);
    let [a, b] = [account("a"), account("b")];
    expect_that!(of(Some(&a)), eq(of(Some(&account("a")))));
    for other in [of(Some(&b)), of(None)] {
        expect_that!(other[0], not(eq(of(Some(&a))[0])));
        expect_that!(other[1], not(eq(of(Some(&a))[1])));
    }
}
