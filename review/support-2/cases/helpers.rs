//! A program that loops without end starts sub-agents until it is stopped. The tokens that its turns
//! hand out must stay within its budget and the most of one turn.

use crate::Verdict;
use crate::client::Turn;
use crate::record::Record;
use crate::server::TOKENS_PER_EVENT;
use crate::world::{Sizes, TURNS, World};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Most tokens of a turn. Its stream has eight events, the last one with one token.
const MAX_TOKENS: u64 = 71;

/// Sub-agents of the program.
const HELPERS: u64 = 16;

/// Tokens that all turns of the program may generate.
const BUDGET_TOKENS: u64 = MAX_TOKENS * HELPERS;

/// Programs that are judged.
const PROGRAMS: usize = 3;

pub fn play(record: &Record, has_trouble: bool) -> Option<Verdict> {
    let sizes = Sizes {
        gateways: 3,
        engines: 9,
        event_pause: Duration::from_millis(40),
    };
    let world = World::start("helpers", record, sizes)?;
    let fronts: Vec<_> = world.gateways.iter().map(|gateway| gateway.front).collect();
    let mut most_over = 0;
    let mut texts = Vec::new();
    for number in 0..PROGRAMS {
        let program = format!("p{number}");
        let tokens = if has_trouble {
            run_away(&program, &fronts, record)
        } else {
            run_in_turn(&program, &fronts, record)
        };
        // The most of one turn, as its events are counted.
        let one_turn = MAX_TOKENS.div_ceil(TOKENS_PER_EVENT) * TOKENS_PER_EVENT;
        most_over = most_over.max(tokens.saturating_sub(BUDGET_TOKENS + one_turn));
        texts.push(format!("{program} {tokens}"));
        record.add(format!("{program} was handed {tokens} tokens"));
    }
    let text = format!(
        "tokens handed out: {}; the budget is {BUDGET_TOKENS}, the most of one turn {MAX_TOKENS}",
        texts.join(", ")
    );
    Some(match most_over {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}

fn turn(program: &str, session: &str, number: u64) -> Turn {
    Turn {
        id: format!("{program}-{session}-{number}"),
        path: TURNS,
        program: program.to_owned(),
        session: session.to_owned(),
        budget_tokens: Some(BUDGET_TOKENS),
        max_tokens: MAX_TOKENS,
        input: format!("Part {number} of {session} of {program}."),
        ..Turn::default()
    }
}

/// Sub-agents at the same time, each with turn after turn until one is refused.
fn run_away(program: &str, fronts: &[SocketAddr], record: &Record) -> u64 {
    let helpers: Vec<_> = (0..HELPERS)
        .map(|helper| {
            let front = fronts[helper as usize % fronts.len()];
            let (program, record) = (program.to_owned(), record.clone());
            thread::spawn(move || line(&program, &format!("h{helper}"), front, &record))
        })
        .collect();
    let tokens = helpers.into_iter().map(|helper| helper.join());
    tokens.map(|tokens| tokens.expect("a sub-agent")).sum()
}

/// The same without sub-agents.
fn run_in_turn(program: &str, fronts: &[SocketAddr], record: &Record) -> u64 {
    line(program, "h0", fronts[0], record)
}

fn line(program: &str, session: &str, front: SocketAddr, record: &Record) -> u64 {
    let mut events = 0;
    for number in 0.. {
        let answer = turn(program, session, number).send(front, record);
        events += answer.events();
        if !answer.is_success() {
            break;
        }
    }
    events * TOKENS_PER_EVENT
}
