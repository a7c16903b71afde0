use super::BufferGauge;
use googletest::prelude::*;

// Guards against buffers that fit one by one, but not together.
#[googletest::test]
fn buffers_share_one_limit_and_give_their_part_back() {
    let gauge = BufferGauge::new(Some(8_000));
    let (first, second) = (gauge.buffer(), gauge.buffer());
    expect_that!(first.resize(600), eq(true));
    expect_that!(second.resize(500), eq(false));
    expect_that!(second.resize(400), eq(true));
    expect_that!(first.resize(601), eq(false));
    expect_that!(first.resize(100), eq(true));
    expect_that!(second.resize(900), eq(true));
    drop(second);
    expect_that!(first.resize(1_000), eq(true));
    drop(first);
    expect_that!(gauge.held_bytes.get(), eq(0));
}
