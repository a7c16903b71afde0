//! Connections of one gateway are reset while programs run a step whose input begins with the same instruction in
//! each of them; what becomes of later programs at that step.
mod harness;

use harness::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;

const SITE: Site = Site { zone_prefix: "pnw", cpu_share: 0.22, memory_mb: 280 };

/// Instruction with which the input of a step begins in all programs of one kind. The result of the program's
/// tool follows.
const INSTRUCTION: &str = "You are given the result of the tool `stock`, as JSON. For each animal in it, tell the \
buyer whether the plush toy and the certificate can be had, and by which day they would arrive. Leave out what is \
not in stock. If a delivery would come later than the date that the buyer has named before, say so first, and name \
at most two animals that arrive in time instead. Use the buyer's language and at most four sentences. Do not state \
prices, do not promise a discount, and do not charge anything: the payment is a step of its own that the buyer \
confirms. If the result is empty or has the field `error`, say that the stock is being checked and ask to wait.\n";

/// Programs under way at one gateway, and how many of them are at that step.
const UNDER_WAY: usize = 16;
const AT_THE_STEP: usize = 8;

/// StableWindowMs of the site.
const STABLE_WINDOW_MS: u64 = 3_000;

/// Programs that send such a turn after the disruption, and times that each of them tries: an attempt and
/// one retry, and the turn twice more from its start.
const PROGRAMS: usize = 8;
const TRIES: usize = 6;

const TURN_TOKENS: u64 = 70;

fn manifest() -> String {
    "{\"Version\":7,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/lohu930/\",\
     \"Kind\":\"streaming\",\"TimeoutMs\":4000,\"TargetLatencyMs\":250,\"Priority\":0,\"Service\":\"helper-models\",\
     \"MaxAttempts\":2,\"RetainHistory\":true,\"RetentionS\":60.0,\"SessionAffinity\":true,\"Resumable\":false,\
     \"GapAimMs\":200}],\"Services\":[{\"Name\":\"helper-models\",\"HealthPath\":\"/health\",\"MaxConnections\":170,\
     \"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":16,\"KvCapacityTokens\":173958,\"KvTokenBytes\":18432,\
     \"LinkMbps\":740000.0,\"Moves\":true,\"Backups\":true,\"TokensPerEvent\":10,\"most\":12,\"PinMs\":4000.0,\
     \"HoldMs\":2000.0,\"handle_s\":5.0,\"Models\":[{\"Name\":\"m\"}]}}],\
     \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}"
        .to_owned()
}

fn turn(program: &str, previous: Option<&str>, input: &str, finish_ms: u64) -> Request {
    let request = Request::new("POST", "/lohu930/4b", input.as_bytes())
        .with("X-Request-Id", new_id())
        .with("X-Program-Id", program)
        .with("X-Session-Id", format!("s{program}"))
        .with("X-Model", "m")
        .with("X-Prompt-Prefix", format!("5c1e07a2:512,{program}:300"))
        .with("X-Token-Count", format!("812,{TURN_TOKENS}"))
        .with("X-Token-Budget", 4_000)
        .with("X-Finish-Ms", finish_ms)
        .with("X-Deadline-Ms", 4_000);
    match previous {
        Some(previous) => request.with("X-Previous-Turn", previous),
        None => request,
    }
}

/// Sends a turn and records its outcome.
fn send(record: &Record, gateway: &(String, SocketAddr), request: &Request) -> Option<Answer> {
    let previous = request.headers.iter().find(|(name, _)| name == "X-Previous-Turn");
    record.line(&format!(
        "client sends turn {} ({:?}, previous {}) to {}",
        request.id(),
        short(&request.body),
        previous.map_or("none", |(_, value)| value),
        gateway.0
    ));
    match request.send(gateway.1) {
        Ok(answer) => {
            let retry_after = answer.head.header("Retry-After").map_or(String::new(), |it| format!(", Retry-After {it}"));
            record.line(&format!(
                "client has {} for turn {}, {}{retry_after}",
                answer.status,
                request.id(),
                if answer.is_whole { "whole" } else { "cut" }
            ));
            Some(answer)
        }
        Err(error) => {
            record.line(&format!("client has no answer for turn {}: {error}", request.id()));
            None
        }
    }
}

/// Beginning and end of a long text.
fn short(text: &[u8]) -> String {
    let text = String::from_utf8_lossy(text);
    let text = text.trim_end();
    if text.len() < 80 { text.to_owned() } else { format!("{} ... {}", &text[..24], &text[text.len() - 55..]) }
}

fn is_served(answer: &Option<Answer>) -> bool {
    answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.is_whole)
}

/// Sends turns at the same time and returns how many were served.
fn send_all(record: &Record, gateway: &(String, SocketAddr), turns: &[Request]) -> usize {
    let threads: Vec<_> = turns
        .iter()
        .cloned()
        .map(|turn| {
            let (record, gateway) = (record.clone(), gateway.clone());
            thread::spawn(move || is_served(&send(&record, &gateway, &turn)))
        })
        .collect();
    threads.into_iter().map(|thread| thread.join().unwrap()).filter(|is_served| *is_served).count()
}

fn program_id() -> String {
    new_id()[..8].to_owned()
}

fn first_input(program: &str) -> String {
    format!("I am looking for a gift, my number is {program}.\n")
}

/// Input of the step: the instruction and the tool's result, which differs.
fn step_input(program: &str) -> String {
    format!("{INSTRUCTION}{{\"order\":\"{program}\",\"animals\":[\"otter\",\"red panda\"]}}\n")
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (root, record_path) = (PathBuf::from(&arguments[1]), PathBuf::from(&arguments[2]));
    let record = Record::new(&record_path);
    let folder = Folder::new();
    let store = Store::default();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let servers: Vec<Server> = (0..9)
        .map(|number| {
            let zone = format!("pnw-{}", ["a", "b", "c"][number % 3]);
            let pace = Pace { first_ms: 150, gap_ms: 50 };
            Server::start(&format!("i-{}", new_id()), "helper-models", &zone, pace, &record, &runs)
        })
        .collect();
    store.put("keyed.op", "config", manifest().as_bytes());
    for server in &servers {
        server.register(&store);
    }
    let gateways: Vec<Gateway> = (0..3)
        .map(|number| Gateway::start(&root, &folder.0, number, &SITE, store.listen().1))
        .collect();
    limit_run(&gateways, &record);
    if !gateways.iter().all(Gateway::wait_until_ready) {
        record.line("a gateway does not get ready");
        return ExitCode::from(2);
    }
    record.line("gateways are ready");
    let fronts: Vec<(String, SocketAddr)> =
        gateways.iter().map(|gateway| (gateway.name.clone(), gateway.front)).collect();
    sleep_ms(2_000);

    // Sixteen programs begin at the first gateway at the same time, and go on there with a second turn.
    let programs: Vec<String> = (0..UNDER_WAY).map(|_| program_id()).collect();
    let firsts: Vec<Request> =
        programs.iter().map(|program| turn(program, None, &first_input(program), 12_000)).collect();
    if send_all(&record, &fronts[0], &firsts) < UNDER_WAY {
        record.line("a first turn was not served before the disruption");
        return ExitCode::from(2);
    }
    sleep_ms(200);
    // Those whose first turns ran on different servers are at the step.
    let server_of = |request: &Request| {
        let runs = runs.lock().unwrap();
        runs.iter().find(|run| run.request == request.id()).map(|run| run.server.clone())
    };
    let mut under_way: Vec<(String, Request)> = programs.into_iter().zip(firsts).collect();
    let mut seen: Vec<Option<String>> = Vec::new();
    under_way.sort_by_cached_key(|(_, first)| {
        let server = server_of(first);
        let times = seen.iter().filter(|known| **known == server).count();
        seen.push(server);
        times
    });
    let (programs, firsts): (Vec<String>, Vec<Request>) = under_way.into_iter().unzip();
    let seconds: Vec<Request> = programs
        .iter()
        .zip(&firsts)
        .enumerate()
        .map(|(number, (program, first))| {
            let input = match number < AT_THE_STEP {
                true => step_input(program),
                false => format!("It is for {program}.\n"),
            };
            turn(program, Some(first.id()), &input, 12_000)
        })
        .collect();
    let equal: Vec<String> = seconds[..AT_THE_STEP].iter().map(|request| request.id().to_owned()).collect();
    let under_way = {
        let (record, front) = (record.clone(), fronts[0].clone());
        thread::spawn(move || send_all(&record, &front, &seconds))
    };
    let runs_now = |request: &String| servers.iter().any(|server| server.running().contains(request));
    let began = std::time::Instant::now();
    while !equal.iter().all(runs_now) && began.elapsed().as_millis() < 350 {
        sleep_ms(5);
    }
    sleep_ms(30);
    if has_trouble() {
        // Of the gateway's connections to servers, eight of the sixteen that carry a turn are reset.
        for request in &equal {
            let at = servers.iter().find(|server| server.reset(request));
            record.line(&match at {
                Some(server) => format!("connection of {} to server {} (turn {request}) is reset", fronts[0].0, server.id),
                None => format!("turn {request} does not run at this moment"),
            });
        }
    }
    let served = under_way.join().unwrap();
    record.line(&format!("{served} of {UNDER_WAY} turns under way were served"));

    // The disruption is over. New conversations at all gateways from StableWindowMs on.
    sleep_ms(STABLE_WINDOW_MS + 1_500);
    let threads: Vec<_> = (0..PROGRAMS)
        .map(|number| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || conversation(&record, &fronts, number))
        })
        .collect();
    let outcomes: Vec<Conversation> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    let runs = runs.lock().unwrap();
    let reached = |id: &String| runs.iter().any(|run| run.request == *id);
    let firsts = outcomes.iter().filter(|it| reached(&it.first)).count();
    let lost = outcomes.iter().filter(|it| it.tries.len() >= 5 && !it.tries.iter().any(reached)).count();
    record.line(&format!("from StableWindowMs after the disruption: {firsts} of {PROGRAMS} first turns reached a server"));
    record.line(&format!("{lost} of {PROGRAMS} second turns reached no server in five tries or more"));
    if firsts * 10 < PROGRAMS * 9 {
        record.line("fewer than nine tenths of first turns reached a server, so the rule excuses");
        return ExitCode::from(2);
    }
    record.line(if lost > 0 { "LOST is broken" } else { "LOST holds" });
    ExitCode::from(u8::from(lost > 0))
}

struct Conversation {
    first: String,
    /// Ids of the tries of the second turn.
    tries: Vec<String>,
}

/// A program of a first turn and a second one, as PROTOCOL.md has its client retry: one retry on a new
/// connection after Retry-After, or a third of the time left; then the turn again from its start after
/// 0.1 to 0.4 s, twice at most.
fn conversation(record: &Record, fronts: &[(String, SocketAddr)], number: usize) -> Conversation {
    sleep_ms(150 * number as u64);
    let began = std::time::Instant::now();
    let left = || 12_000_u64.saturating_sub(began.elapsed().as_millis() as u64);
    let program = program_id();
    let first = turn(&program, None, &first_input(&program), left());
    let answer = send(record, &fronts[number % fronts.len()], &first);
    let mut tries = Vec::new();
    if !is_served(&answer) {
        return Conversation { first: first.id().to_owned(), tries };
    }
    for start in 0..TRIES / 2 {
        let mut time_left = 4_000_u64;
        for retry in 0..2 {
            let at = &fronts[(number + start + retry) % fronts.len()];
            let second = turn(&program, Some(first.id()), &step_input(&program), left()).with("X-Deadline-Ms", time_left);
            let answer = send(record, at, &second);
            tries.push(second.id().to_owned());
            if is_served(&answer) {
                return Conversation { first: first.id().to_owned(), tries };
            }
            let retry_after = answer.as_ref().and_then(|answer| answer.head.header("Retry-After")?.parse::<f64>().ok());
            let wait = ((retry_after.unwrap_or(0.2) * 1_000.0) as u64).min(time_left / 3);
            if retry == 0 {
                sleep_ms(wait);
                time_left -= wait;
            }
        }
        sleep_ms(250);
    }
    Conversation { first: first.id().to_owned(), tries }
}
