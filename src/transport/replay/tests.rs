//! Tests of what the runs of an answer have delivered.

use super::{Part, ReplayBuffer, Run};
use googletest::prelude::*;

/// Part of an answer with the positions of its first token and after its last one.
#[derive(Clone)]
struct Span(u32, u32);

impl Part for Span {
    fn index(&self) -> u32 {
        self.0
    }

    fn end(&self) -> u32 {
        self.1
    }
}

fn run(id: u64) -> Run {
    Run {
        id,
        node: "engine-1".to_owned(),
    }
}

// Guards against a run that is counted twice because its stream was opened again.
#[gtest]
fn a_run_that_is_read_again_is_counted_once() {
    let buffer = ReplayBuffer::<Span, ()>::new();
    buffer.start(run(1));
    expect_that!(buffer.push(Span(0, 4)), ok(anything()));
    buffer.start(run(1));
    expect_that!(buffer.push(Span(0, 4)), ok(anything()));
    expect_that!(buffer.push(Span(4, 6)), ok(anything()));
    expect_that!(buffer.delivered().1.tokens, eq(6));
    expect_that!(buffer.delivered_before().tokens, eq(0));
}

// Guards against tokens of an earlier run that are forgotten when the next one begins.
#[gtest]
fn a_new_run_keeps_the_count_of_those_before() {
    let buffer = ReplayBuffer::<Span, ()>::new();
    for id in 1..=3 {
        buffer.start(run(id));
        expect_that!(buffer.push(Span(0, 5)), ok(anything()));
    }
    expect_that!(buffer.delivered().1.tokens, eq(15));
    expect_that!(buffer.delivered_before().tokens, eq(10));
    buffer.start(run(4));
    expect_that!(buffer.delivered().1, eq(buffer.delivered_before()));
}
