//! Plays one case: `cases NAME FOLDER`. Writes `FOLDER/record.txt` and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod client;
mod gateway;
mod http;
mod record;
mod server;
mod store;
mod world;

use record::Record;
use std::path::Path;
use std::{env, process};

/// What a case has shown.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: cases NAME FOLDER");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let verdict = match cases::play(case, &record, has_trouble) {
        Some(verdict) => verdict,
        None => Verdict::NotRun("a gateway did not become ready".to_owned()),
    };
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::NotRun(text) => (2, format!("NOT RUN: {text}")),
    };
    record.add(text);
    record.write(&Path::new(folder).join("record.txt"));
    process::exit(code);
}
