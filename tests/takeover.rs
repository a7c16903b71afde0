//! Takeovers of partitions with calls under way, by daemons in one process.

use galenapick::ids::ProgramId;
use galenapick::protocol::caller::{CallRequest, ProgramRequest};
use galenapick::protocol::link::Answer;
use galenapick::protocol::vms::NodeRole;
use galenapick::standin::{LogConfig, LogStandin, ServiceConfig, ServiceStandin};
use galenapick::{Client, Daemon, Environment, Settings};
use googletest::prelude::*;
use smol::Timer;
use std::time::{Duration, Instant};

/// Longest wait for one step of the system.
const STEP_LIMIT: Duration = Duration::from_secs(40);
/// How long the service works on a call.
const WORK: Duration = Duration::from_millis(800);
/// When the entry is killed after the calls have begun.
const KILL_AFTER: Duration = Duration::from_millis(400);
/// Programs, so that both entries own some.
const PROGRAMS: usize = 8;

const ENVIRONMENT: &str = "
[environment]
name = tn-north

[service bank-core]
operations = balance, transfer
non_repeatable = transfer

[member saa]
token_hash = TOKEN_HASH
";

const TOKEN: &str = "token of saa";

struct System {
    _log: LogStandin,
    service: ServiceStandin,
    _sidecar: Daemon,
    /// Entries that live.
    entries: Vec<Daemon>,
}

impl System {
    fn kill_first(&mut self) {
        self.entries.remove(0).kill();
    }

    fn client(&self, entry: usize) -> Client {
        Client::new([self.entries[entry].http_address().to_string()], TOKEN)
    }
}

async fn start() -> System {
    let log = LogStandin::start(LogConfig::default()).await.unwrap();
    let service = ServiceConfig {
        work: WORK,
        ..ServiceConfig::default()
    };
    let service = ServiceStandin::start(service).await.unwrap();
    let endpoint = format!(
        "[endpoint]\nkind = service\nurl = {}\nservice = bank-core\n",
        service.url()
    );
    let sidecar = Daemon::start(settings("s1", "sidecar", &endpoint))
        .await
        .unwrap();
    let platform = format!(
        "[platform]\nlog_url = {}\n[peers]\ns1 = {}\n",
        log.url(),
        sidecar.link_address()
    );
    let first = start_entry("n1", &platform).await;
    let second = start_entry("n2", &platform).await;
    first.add_node("n2", NodeRole::Entry, second.link_address(), "a");
    second.add_node("n1", NodeRole::Entry, first.link_address(), "a");
    let system = System {
        _log: log,
        service,
        _sidecar: sidecar,
        entries: vec![first, second],
    };
    let give_up = Instant::now() + STEP_LIMIT;
    while !system.entries.iter().all(Daemon::is_ready) {
        assert!(Instant::now() < give_up, "not ready in time");
        Timer::after(Duration::from_millis(20)).await;
    }
    system
}

async fn start_entry(name: &str, platform: &str) -> Daemon {
    let entry = Daemon::start(settings(name, "entry", platform))
        .await
        .unwrap();
    let hash = blake3::hash(TOKEN.as_bytes()).to_hex();
    let document = ENVIRONMENT.replace("TOKEN_HASH", &hash);
    let environment = Environment::parse(&document, "tn-north.ini").unwrap();
    entry.serve_environments(vec![environment]);
    entry
}

fn settings(name: &str, role: &str, rest: &str) -> Settings {
    let text = format!(
        "[node]\nname = {name}\nrole = {role}\nfailure_domain = a\n\
         [listen]\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n\
         [keys]\nsecret = the deployment\'s own secret\n{rest}"
    );
    match Settings::parse(&text, "node.ini", |_| None) {
        Ok(settings) => settings,
        Err(faults) => panic!("{faults}"),
    }
}

/// Creates programs with a retry until each is there.
async fn programs(client: &Client) -> Vec<ProgramId> {
    let mut programs = Vec::new();
    for index in 0..PROGRAMS {
        let request = ProgramRequest {
            key: Some(format!("program-{index}")),
            ..ProgramRequest::default()
        };
        let give_up = Instant::now() + STEP_LIMIT;
        loop {
            if let Ok(created) = client.create(&request).await {
                programs.push(created.program);
                break;
            }
            assert!(Instant::now() < give_up, "no program in time");
            Timer::after(Duration::from_millis(50)).await;
        }
    }
    programs
}

fn transfer(key: &str) -> CallRequest {
    CallRequest::tool("bank-core", "transfer", serde_json::json!({"hours": 2})).key(key)
}

/// Repeats a call under its key until it is answered.
async fn answered(client: &Client, program: ProgramId, call: &CallRequest) -> Answer {
    let give_up = Instant::now() + STEP_LIMIT;
    loop {
        match client.call(program, call).await {
            Ok(answer) => return answer,
            Err(error) => assert!(Instant::now() < give_up, "no answer in time: {error}"),
        }
        Timer::after(Duration::from_millis(100)).await;
    }
}

/// Begins a transfer in each program at the first entry, and does not wait for it.
fn begin(client: &Client, programs: &[ProgramId]) -> Vec<smol::Task<()>> {
    let begin = |program: &ProgramId| {
        let (client, program) = (client.clone(), *program);
        smol::spawn(async move {
            // The entry may be killed before it answers.
            let _ = client.call(program, &transfer("first")).await;
        })
    };
    programs.iter().map(begin).collect()
}

async fn check(system: &System, client: &Client, programs: &[ProgramId]) {
    for program in programs {
        // The next call of the branch comes after the one that was cut, whoever settles that.
        let second = answered(client, *program, &transfer("second")).await;
        let first = answered(client, *program, &transfer("first")).await;
        expect_that!(first.status, some(eq(200)));
        let calls = [first.call, second.call];
        for call in calls {
            expect_that!(system.service.run_count(call), eq(1));
        }
        let turns = client.history(*program).await.unwrap();
        let history: Vec<_> = turns.iter().map(|turn| turn.call).collect();
        expect_that!(history, eq(&calls));
    }
    let actions = system.service.counts().actions;
    expect_that!(actions, eq(2 * PROGRAMS as u64));
}

#[gtest]
fn an_action_under_way_survives_its_owner() {
    smol::block_on(async {
        let mut system = start().await;
        let (at_first, at_second) = (system.client(0), system.client(1));
        let programs = programs(&at_first).await;
        let calls = begin(&at_first, &programs);
        Timer::after(KILL_AFTER).await;
        system.kill_first();
        drop(calls);
        check(&system, &at_second, &programs).await;
    });
}
