//! Unit tests of the lines of the event log.

use super::{Value, write_line};
use googletest::prelude::*;
use proptest::prelude::*;

fn line(fields: &[(&str, Value<'_>)]) -> String {
    let mut line = Vec::new();
    write_line(17, "answered", fields, &mut line);
    String::from_utf8(line).expect("text")
}

#[googletest::test]
fn fields_are_in_alphabetical_order() {
    let fields = [
        ("status", Value::from(200_u16)),
        ("after_ms", Value::from(u128::MAX)),
        ("zone", Value::from("z\"1\n")),
        ("is_last", Value::from(true)),
    ];
    let expected = "{\"after_ms\":18446744073709551615,\"event\":\"answered\",\"is_last\":true,\
                    \"status\":200,\"unix_ms\":17,\"zone\":\"z\\\"1\\n\"}";
    expect_that!(line(&fields), eq(expected));
}

proptest! {
    #[test]
    fn any_text_is_written_as_the_json_library_writes_it(text in any::<String>()) {
        let expected = serde_json::json!({"event": "answered", "text": text, "unix_ms": 17});
        let fields = [("text", Value::from(text.as_str()))];
        prop_assert_eq!(line(&fields), expected.to_string());
    }
}
