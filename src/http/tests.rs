//! Tests of the parts that are found in an answer.

use super::framing::{AnswerPart, Framing};
use googletest::prelude::*;

/// Feeds bytes in blocks and returns the positions at which parts begin.
fn find_parts(answer: &[u8], block_bytes: usize) -> Vec<(usize, AnswerPart)> {
    let mut framing = Framing::default();
    let mut found = Vec::new();
    let mut start = 0;
    for block in answer.chunks(block_bytes) {
        let mut rest = block;
        while let Some(count) = framing.find_next_part(rest) {
            rest = &rest[count..];
            found.push((start + block.len() - rest.len(), framing.part()));
        }
        start += block.len();
    }
    found
}

// Guards against a part of an answer being counted against the limit of another.
#[gtest]
fn parts_are_found_wherever_the_bytes_are_split() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nlink: </a>\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = "2\r\n\r\n\r\n0a;ab=0\r\n0\r\n\r\n12345\r\n000\r\n";
    let trailers = "a: b\r\n\r\n";
    let head_bytes = interim.len() + chunked.len();
    let answer = format!("{interim}{chunked}{chunks}{trailers}");
    let length = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";
    let framed = format!("{length}0\r\n\r\n0\r\n\r\n");
    for block_bytes in 1..=answer.len() {
        let parts = [
            (head_bytes, AnswerPart::Body),
            (head_bytes + chunks.len(), AnswerPart::Trailers),
        ];
        expect_that!(find_parts(answer.as_bytes(), block_bytes), eq(&parts));
        let parts = [(length.len(), AnswerPart::Body)];
        expect_that!(find_parts(framed.as_bytes(), block_bytes), eq(&parts));
    }
}

// Guards against an answer that was cut counting as one that cannot be read.
#[gtest]
fn the_end_of_the_connection_cuts_an_answer_in_its_head_or_before_its_length() {
    let head = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-LENGTH:  12 \r\n\r\n";
    let answer = format!("{head}twelve bytes");
    for kept_bytes in 0..=answer.len() {
        let mut framing = Framing::default();
        let mut rest = &answer.as_bytes()[..kept_bytes];
        while let Some(count) = framing.find_next_part(rest) {
            rest = &rest[count..];
        }
        let is_cut = kept_bytes < answer.len();
        expect_that!(framing.is_cut_by_end(), eq(is_cut), "{kept_bytes} bytes");
    }
    let mut until_close = Framing::default();
    until_close.find_next_part(b"HTTP/1.1 200 OK\r\n\r\n");
    expect_that!(until_close.is_cut_by_end(), eq(false));
}
