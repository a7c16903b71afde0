//! A manifest moves a route to another service while turns of a program wait for their first event.
mod harness;

use harness::*;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;

const SITE: Site = Site { zone_prefix: "pnw", cpu_share: 0.22, memory_mb: 280 };

/// Most tokens of a turn, and the budget of the program.
const TURN_TOKENS: u64 = 100;
const BUDGET: u64 = 400;

/// Turns that sub-agents run at the same time.
const FAN: usize = 4;

fn service(name: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":170,\"Protocol\":\"h1\",\"Tls\":false,\
         \"Engine\":{{\"Slots\":16,\"KvCapacityTokens\":173958,\"KvTokenBytes\":18432,\"LinkMbps\":740000.0,\
         \"Moves\":true,\"Backups\":true,\"TokensPerEvent\":{TOKENS_PER_EVENT},\"most\":12,\"PinMs\":4000.0,\
         \"HoldMs\":2000.0,\"handle_s\":5.0,\"Models\":[{{\"Name\":\"m\"}}]}}}}"
    )
}

/// A manifest with one route, and the service that the route goes to.
fn manifest(version: u64, to: &str) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/lohu930/\",\
         \"Kind\":\"streaming\",\"TimeoutMs\":4000,\"TargetLatencyMs\":200,\"Priority\":0,\"Service\":\"{to}\",\
         \"MaxAttempts\":2,\"RetainHistory\":true,\"RetentionS\":60.0,\"SessionAffinity\":true,\"Resumable\":false,\
         \"GapAimMs\":200}}],\"Services\":[{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        service(to)
    )
}

fn turn(number: usize) -> Request {
    Request::new("POST", "/lohu930/4b", format!("sub-agent {number}: list what is open in your part\n").as_bytes())
        .with("X-Request-Id", new_id())
        .with("X-Program-Id", "3fa81c")
        .with("X-Session-Id", format!("77d20b{number}"))
        .with("X-Model", "m")
        .with("X-Prompt-Prefix", "5c1e07a2:512")
        .with("X-Token-Count", format!("512,{TURN_TOKENS}"))
        .with("X-Token-Budget", BUDGET)
        .with("X-Finish-Ms", 12_000)
        .with("X-Deadline-Ms", 4_000)
}

/// Sends a turn and records its outcome. Returns the tokens that the client got.
fn send(record: &Record, gateway: (&str, std::net::SocketAddr), request: &Request) -> (u16, u64) {
    record.line(&format!("client sends turn {} to {}", request.id(), gateway.0));
    match request.send(gateway.1) {
        Ok(answer) => {
            record.line(&format!(
                "client has {} for turn {}, {}, {} tokens",
                answer.status,
                request.id(),
                if answer.is_whole { "whole" } else { "cut" },
                answer.tokens()
            ));
            (answer.status, answer.tokens())
        }
        Err(error) => {
            record.line(&format!("client has no answer for turn {}: {error}", request.id()));
            (0, 0)
        }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (root, record_path) = (PathBuf::from(&arguments[1]), PathBuf::from(&arguments[2]));
    let record = Record::new(&record_path);
    let folder = Folder::new();
    let store = Store::default();
    let runs = Arc::new(Mutex::new(Vec::new()));
    // The servers of the first service take 0.8 s to the first event, as under load. The time budget is 4 s.
    let servers: Vec<Server> = [("helper-models", 800), ("helper-models-2", 100)]
        .into_iter()
        .flat_map(|(service, first_ms)| {
            ["a", "b", "c"].map(|zone| {
                let pace = Pace { first_ms, gap_ms: 30 };
                Server::start(&format!("i-{}-{zone}", new_id()), service, &format!("pnw-{zone}"), pace, &record, &runs)
            })
        })
        .collect();
    store.put("keyed.op", "config", manifest(7, "helper-models").as_bytes());
    record.line("operator: manifest 7 acknowledged, r-1 goes to helper-models");
    for server in &servers {
        server.register(&store);
    }
    let gateways: Vec<Gateway> = (0..2)
        .map(|number| Gateway::start(&root, &folder.0, number, &SITE, store.listen().1))
        .collect();
    limit_run(&gateways, &record);
    if !gateways.iter().all(Gateway::wait_until_ready) {
        record.line("a gateway does not get ready");
        return ExitCode::from(2);
    }
    record.line("gateways are ready");
    sleep_ms(2_000);

    // Four sub-agents, whose turns take the whole budget.
    let fan: Vec<_> = (0..FAN)
        .map(|number| {
            let gateway = &gateways[number % gateways.len()];
            let (record, name, front) = (record.clone(), gateway.name.clone(), gateway.front);
            thread::spawn(move || send(&record, (&name, front), &turn(number)))
        })
        .collect();
    let running = || -> usize { servers.iter().map(|server| server.running().len()).sum() };
    let began = std::time::Instant::now();
    while running() < FAN && began.elapsed().as_millis() < 500 {
        sleep_ms(5);
    }
    let running = running();
    record.line(&format!("{running} turns run at servers"));
    if has_trouble() {
        store.put("keyed.op", "config", manifest(9, "helper-models-2").as_bytes());
        record.line("operator: manifest 9 acknowledged, r-1 goes to helper-models-2, no route goes to helper-models");
    }
    let outcomes: Vec<(u16, u64)> = fan.into_iter().map(|turn| turn.join().unwrap()).collect();
    let first: u64 = outcomes.iter().map(|outcome| outcome.1).sum();
    record.line(&format!("the first {FAN} turns: {first} tokens"));
    if first != FAN as u64 * TURN_TOKENS || running != FAN {
        record.line("the first turns were not all served, so the case did not run");
        return ExitCode::from(2);
    }
    // SettleMs has passed.
    sleep_ms(1_500);
    let mut later = 0;
    for number in 0..6 {
        let gateway = &gateways[number % gateways.len()];
        later += send(&record, (&gateway.name, gateway.front), &turn(FAN + number)).1;
        sleep_ms(300);
    }
    let total = first + later;
    let limit = BUDGET + TURN_TOKENS;
    record.line(&format!(
        "tokens handed to the client in all turns of the program: {total}; budget {BUDGET} + the most of one turn {TURN_TOKENS} = {limit}"
    ));
    record.line(if total > limit { "BUDGET is broken" } else { "BUDGET holds" });
    ExitCode::from(u8::from(total > limit))
}
