//! Takeovers of partitions with running calls, between daemons in one process.
//!
//! A takeover must neither repeat a running action nor lose its turn from the history.

use galenapick::ids::ProgramId;
use galenapick::protocol::caller::{CallRequest, ProgramRequest};
use galenapick::protocol::link::Answer;
use galenapick::protocol::vms::NodeRole;
use galenapick::standin::{LogConfig, LogStandin, ServiceConfig, ServiceStandin};
use galenapick::{Client, Daemon, Environment, Settings};
use googletest::prelude::*;
use smol::Timer;
use std::time::{Duration, Instant};

/// Maximum wait for one step of the system.
const STEP_TIMEOUT: Duration = Duration::from_secs(40);
/// Duration of a call at the service.
const SERVICE_DURATION: Duration = Duration::from_millis(800);
/// Delay between the start of the calls and the kill of the entry.
const KILL_DELAY: Duration = Duration::from_millis(400);
/// Number of programs. It is high enough that both entries own some.
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
    /// Running entries.
    entries: Vec<Daemon>,
}

impl System {
    fn kill_first_entry(&mut self) {
        self.entries.remove(0).kill();
    }

    fn client(&self, entry: usize) -> Client {
        Client::new([self.entries[entry].http_address().to_string()], TOKEN)
    }
}

async fn start_system() -> System {
    let log = LogStandin::start(LogConfig::default()).await.unwrap();
    let service = ServiceConfig {
        work: SERVICE_DURATION,
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
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !system.entries.iter().all(Daemon::is_ready) {
        assert!(Instant::now() < deadline, "not ready in time");
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

fn settings(name: &str, role: &str, sections: &str) -> Settings {
    let text = format!(
        "[node]\nname = {name}\nrole = {role}\nfailure_domain = a\n\
         [listen]\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n\
         [keys]\nsecret = the deployment\'s own secret\n{sections}"
    );
    match Settings::parse(&text, "node.ini", |_| None) {
        Ok(settings) => settings,
        Err(faults) => panic!("{faults}"),
    }
}

/// Creates programs and retries each until it succeeds.
async fn create_programs(client: &Client) -> Vec<ProgramId> {
    let mut programs = Vec::new();
    for index in 0..PROGRAMS {
        let request = ProgramRequest {
            key: Some(format!("program-{index}")),
            ..ProgramRequest::default()
        };
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            if let Ok(created) = client.create(&request).await {
                programs.push(created.program);
                break;
            }
            assert!(Instant::now() < deadline, "no program in time");
            Timer::after(Duration::from_millis(50)).await;
        }
    }
    programs
}

fn transfer_request(key: &str) -> CallRequest {
    CallRequest::tool("bank-core", "transfer", serde_json::json!({"hours": 2})).key(key)
}

/// Retries a call under its key until it is answered.
async fn call_until_answered(client: &Client, program: ProgramId, call: &CallRequest) -> Answer {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        match client.call(program, call).await {
            Ok(answer) => return answer,
            Err(error) => assert!(Instant::now() < deadline, "no answer in time: {error}"),
        }
        Timer::after(Duration::from_millis(100)).await;
    }
}

/// Starts a transfer in each program through a client, without waiting for the answers.
fn start_transfers(client: &Client, programs: &[ProgramId]) -> Vec<smol::Task<()>> {
    let start_transfer = |program: &ProgramId| {
        let (client, program) = (client.clone(), *program);
        smol::spawn(async move {
            // The entry may be killed before it answers.
            let _ = client.call(program, &transfer_request("first")).await;
        })
    };
    programs.iter().map(start_transfer).collect()
}

async fn check_transfers(system: &System, client: &Client, programs: &[ProgramId]) {
    for program in programs {
        // The branch runs this call after the interrupted one, regardless of the owner that
        // settles the interrupted one.
        let second = call_until_answered(client, *program, &transfer_request("second")).await;
        let first = call_until_answered(client, *program, &transfer_request("first")).await;
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
fn a_running_action_survives_the_loss_of_its_owner() {
    smol::block_on(async {
        let mut system = start_system().await;
        let (first_client, second_client) = (system.client(0), system.client(1));
        let programs = create_programs(&first_client).await;
        let calls = start_transfers(&first_client, &programs);
        Timer::after(KILL_DELAY).await;
        system.kill_first_entry();
        drop(calls);
        check_transfers(&system, &second_client, &programs).await;
    });
}
