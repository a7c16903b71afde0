use super::parse_list;
use crate::protocol::vms::{NodeRole, Vm, VmState};
use googletest::prelude::*;

const ENTRY: &str =
    r#"{"node":"e1","role":"entry","address":"10.0.0.1:70","failure_domain":"a","state":"live"}"#;

fn vm() -> Vm {
    Vm {
        node: "e1".into(),
        role: NodeRole::Entry,
        address: "10.0.0.1:70".to_owned(),
        failure_domain: "a".into(),
        state: VmState::Live,
    }
}

// Guards against a list that is no longer followed because of one entry of another writer.
#[googletest::test]
fn an_entry_that_cannot_be_read_does_not_hide_the_others() {
    let deep = "[".repeat(100_000) + &*"]".repeat(100_000);
    for odd in [
        &*deep,
        "1e999",
        "null",
        "{}",
        &ENTRY.replace("\"live\"", "\"asleep\""),
        &ENTRY.replace("\"live\"", &deep),
        &ENTRY.replace("\"live\"", "1e999"),
        &ENTRY.replace(":70", ":65536"),
        &ENTRY.replace(":70", ""),
    ] {
        let list = format!("[{odd},{ENTRY},{odd}]");
        expect_that!(
            parse_list(list.as_bytes()),
            some(eq(&vec![vm()])),
            "{odd:.40}"
        );
        // The known nodes stay.
        expect_that!(parse_list(format!("[{odd}]").as_bytes()), none());
    }
    expect_that!(parse_list(b"[]"), some(is_empty()));
    expect_that!(parse_list(b"{}"), none());
    let other_field = ENTRY.replacen('{', &format!("{{\"other\":{deep},"), 1);
    let list = format!("[{other_field}]");
    expect_that!(parse_list(list.as_bytes()), some(eq(&vec![vm()])));
}
