//! Clients leave while the store is down; what is left of their programs' budgets afterwards.
mod harness;

use harness::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SITE: Site = Site { zone_prefix: "pnw", cpu_share: 0.22, memory_mb: 280 };

/// Programs of three turns, whose budget is what three turns may generate.
const PROGRAMS: usize = 60;
const TURN_TOKENS: u64 = 70;
const BUDGET: u64 = 3 * TURN_TOKENS;

/// Clients that leave during their second turn (share 0.4), and how long after they have sent it.
const LEAVING: usize = 24;
const LEAVE_AFTER_MS: u64 = 700;

/// The store is down for this long (for_s 4.5); second turns are sent so long after its beginning.
const DOWN_MS: u64 = 4_500;
const SECOND_TURN_AT_MS: u64 = 3_500;

/// StableWindowMs of the site.
const STABLE_WINDOW_MS: u64 = 3_000;

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

struct Program {
    id: String,
    gateway: (String, SocketAddr),
    last: Option<String>,
    /// Tokens handed to the client in all turns.
    handed: u64,
    /// Turns that reached a server and did not end whole count with their most tokens.
    uncertain: u64,
}

impl Program {
    fn turn(&self, number: usize) -> Request {
        let request = Request::new("POST", "/lohu930/4b", format!("{}: part {number} of my question\n", self.id).as_bytes())
            .with("X-Request-Id", new_id())
            .with("X-Program-Id", &self.id)
            .with("X-Session-Id", format!("s{}", self.id))
            .with("X-Model", "m")
            .with("X-Prompt-Prefix", format!("5c1e07a2:512,{}:100", self.id))
            .with("X-Token-Count", format!("612,{TURN_TOKENS}"))
            .with("X-Token-Budget", BUDGET)
            .with("X-Finish-Ms", 30_000)
            .with("X-Deadline-Ms", 4_000);
        match &self.last {
            Some(last) => request.with("X-Previous-Turn", last),
            None => request,
        }
    }

    /// Sends a turn until it is served or refused for good; five attempts at most.
    fn run(&mut self, record: &Record, runs: &Mutex<Vec<Run>>, number: usize) -> u16 {
        for _ in 0..5 {
            let request = self.turn(number);
            record.line(&format!("program {} sends turn {number}, {}, to {}", self.id, request.id(), self.gateway.0));
            let answer = request.send(self.gateway.1);
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            let is_whole = answer.as_ref().is_ok_and(|answer| answer.is_whole);
            record.line(&format!("program {} has {status} for {}{}", self.id, request.id(), if is_whole { "" } else { ", cut" }));
            if let Ok(answer) = &answer {
                self.handed += answer.tokens();
            }
            if status == 200 && is_whole {
                self.last = Some(request.id().to_owned());
                return 200;
            }
            if runs.lock().unwrap().iter().any(|run| run.request == request.id()) {
                self.uncertain += TURN_TOKENS;
            }
            if (400..500).contains(&status) && status != 408 && status != 429 {
                return status;
            }
            let retry_after = answer.ok().and_then(|answer| answer.head.header("Retry-After")?.parse::<f64>().ok());
            sleep_ms(((retry_after.unwrap_or(0.3) * 1_000.0) as u64).clamp(100, 1_300));
        }
        0
    }
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
            let pace = Pace { first_ms: 40, gap_ms: 15 };
            Server::start(&format!("i-{}", new_id()), "helper-models", &zone, pace, &record, &runs)
        })
        .collect();
    store.put("keyed.op", "config", manifest().as_bytes());
    for server in &servers {
        server.register(&store);
    }
    let listeners: Vec<(usize, SocketAddr)> = (0..3).map(|_| store.listen()).collect();
    let gateways: Vec<Gateway> =
        (0..3).map(|number| Gateway::start(&root, &folder.0, number, &SITE, listeners[number].1)).collect();
    limit_run(&gateways, &record);
    if !gateways.iter().all(Gateway::wait_until_ready) {
        record.line("a gateway does not get ready");
        return ExitCode::from(2);
    }
    record.line("gateways are ready");
    sleep_ms(2_000);

    let programs: Vec<Program> = (0..PROGRAMS)
        .map(|number| {
            let gateway = &gateways[number % gateways.len()];
            Program {
                id: new_id()[..8].to_owned(),
                gateway: (gateway.name.clone(), gateway.front),
                last: None,
                handed: 0,
                uncertain: 0,
            }
        })
        .collect();
    let down_at = Instant::now() + Duration::from_millis(2_500);
    let threads: Vec<_> = programs
        .into_iter()
        .enumerate()
        .map(|(number, mut program)| {
            let (record, runs) = (record.clone(), runs.clone());
            thread::spawn(move || {
                sleep_ms(15 * number as u64);
                let first = program.run(&record, &runs, 1);
                sleep_until(down_at + Duration::from_millis(SECOND_TURN_AT_MS));
                if has_trouble() && number % 5 < 2 {
                    leave(&record, &program);
                }
                let second = program.run(&record, &runs, 2);
                sleep_until(down_at + Duration::from_millis(DOWN_MS + STABLE_WINDOW_MS + 3_000));
                let third = if second == 200 { program.run(&record, &runs, 3) } else { 0 };
                (program, [first, second, third])
            })
        })
        .collect();
    sleep_until(down_at);
    if has_trouble() {
        record.line("the store is down (connections are reset)");
        for (listener, _) in &listeners {
            store.set_behavior(*listener, Behavior::Reset);
        }
        sleep_ms(DOWN_MS);
        for (listener, _) in &listeners {
            store.set_behavior(*listener, Behavior::Good);
        }
        record.line("the store is back");
    }
    let outcomes: Vec<(Program, [u16; 3])> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    let mut denied = 0;
    for (program, statuses) in &outcomes {
        let spent = program.handed + program.uncertain;
        let is_denied = statuses.contains(&402) && spent + TURN_TOKENS <= BUDGET;
        denied += usize::from(is_denied);
        if is_denied {
            record.line(&format!("program {}: {statuses:?}, {spent} tokens of {BUDGET}, and a turn of {TURN_TOKENS} gets 402", program.id));
        }
    }
    let requests = 4 * PROGRAMS;
    let limit = 5 + requests / 500;
    let served = outcomes.iter().filter(|(_, statuses)| *statuses == [200; 3]).count();
    record.line(&format!("{served} of {PROGRAMS} programs ended whole"));
    record.line(&format!("{denied} turns were refused with 402 though the budget holds; allowed are {limit}"));
    record.line(if denied > limit { "DENIED is broken" } else { "DENIED holds" });
    ExitCode::from(u8::from(denied > limit))
}

/// Sends a turn, leaves before its answer, and comes back once the store is there again.
fn leave(record: &Record, program: &Program) {
    let request = program.turn(2);
    record.line(&format!("program {} sends turn 2, {}, to {}", program.id, request.id(), program.gateway.0));
    let Ok(mut stream) = TcpStream::connect(program.gateway.1) else { return };
    let _ = stream.write_all(&request.bytes());
    sleep_ms(LEAVE_AFTER_MS);
    drop(stream);
    record.line(&format!("the client of {} leaves {}", program.id, request.id()));
    sleep_ms(DOWN_MS - SECOND_TURN_AT_MS - LEAVE_AFTER_MS + 500);
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
