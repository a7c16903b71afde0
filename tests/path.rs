//! The whole path in one process: caller, entry, owner, sidecar, endpoint, log, and back.

use galenapick::protocol::caller::{CallRequest, ProgramRequest};
use galenapick::standin::{
    EngineConfig, EngineStandin, Ledger, LogConfig, LogStandin, ServiceConfig, ServiceStandin,
    expected_answer,
};
use galenapick::{Client, Daemon, Environment, Message, Role, Settings};
use googletest::prelude::*;
use smol::Timer;
use std::time::{Duration, Instant};

/// Longest wait for the system to come up, or for one step of it.
const STEP_LIMIT: Duration = Duration::from_secs(30);

const ENVIRONMENT: &str = "
[environment]
name = tn-north

[model matcher-llm]
version = 1

[service bank-core]
operations = balance, transfer
non_repeatable = transfer

[member saa]
token_hash = TOKEN_HASH
";

const TOKEN: &str = "token of saa";

struct Path {
    log: LogStandin,
    engine: EngineStandin,
    service: ServiceStandin,
    daemons: Vec<Daemon>,
    client: Client,
}

async fn start() -> Path {
    let log = LogStandin::start(LogConfig::default()).await.unwrap();
    let engine = EngineConfig {
        models: vec![("matcher-llm".to_owned(), 1)],
        ..EngineConfig::default()
    };
    let engine = EngineStandin::start(engine, Ledger::default())
        .await
        .unwrap();
    let service = ServiceStandin::start(ServiceConfig::default())
        .await
        .unwrap();
    let sidecars = [
        (
            "e1",
            format!(
                "kind = engine\nurl = {}\nmodels = matcher-llm",
                engine.url()
            ),
        ),
        (
            "s1",
            format!(
                "kind = service\nurl = {}\nservice = bank-core",
                service.url()
            ),
        ),
    ];
    let mut daemons = Vec::new();
    let mut peers = String::new();
    for (name, endpoint) in sidecars {
        let settings = settings(name, "sidecar", &format!("[endpoint]\n{endpoint}\n"));
        let daemon = Daemon::start(settings).await.unwrap();
        peers += &format!("{name} = {}\n", daemon.link_address());
        daemons.push(daemon);
    }
    let entry = format!("[platform]\nlog_url = {}\n[peers]\n{peers}", log.url());
    let entry = Daemon::start(settings("n1", "entry", &entry))
        .await
        .unwrap();
    let hash = blake3::hash(TOKEN.as_bytes()).to_hex();
    let document = ENVIRONMENT.replace("TOKEN_HASH", &hash);
    let environment = Environment::parse(&document, "tn-north.ini").unwrap();
    entry.serve_environments(vec![environment]);
    let client = Client::new([entry.http_address().to_string()], TOKEN);
    daemons.push(entry);
    wait_ready(&daemons).await;
    Path {
        log,
        engine,
        service,
        daemons,
        client,
    }
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

/// Waits until all daemons are ready.
async fn wait_ready(daemons: &[Daemon]) {
    let give_up = Instant::now() + STEP_LIMIT;
    while !daemons.iter().all(Daemon::is_ready) {
        assert!(Instant::now() < give_up, "not ready in time");
        Timer::after(Duration::from_millis(20)).await;
    }
}

#[gtest]
fn a_program_runs_from_its_caller_to_the_endpoints_and_into_the_log() {
    smol::block_on(async {
        let path = start().await;
        let client = &path.client;
        let created = client.create(&ProgramRequest::default()).await;
        let program = created.unwrap().program;

        let asked = vec![Message::new(Role::User, "who can mend a gate in Sfax")];
        let call = CallRequest::model("matcher-llm", asked.clone(), 24).key("c1");
        let answer = client.call(program, &call).await.unwrap();
        expect_that!(answer.content, eq(&expected_answer(&asked, 24)));
        let again = client.call(program, &call).await.unwrap();
        expect_that!(again.content, eq(&answer.content));
        expect_that!(again.call, eq(answer.call));

        let transfer = CallRequest::tool("bank-core", "transfer", serde_json::json!({"hours": 2}));
        let transfer = transfer.key("c2");
        let first = client.call(program, &transfer).await.unwrap();
        let second = client.call(program, &transfer).await.unwrap();
        expect_that!(first.call, eq(second.call));
        expect_that!(path.service.runs(first.call), eq(1));

        let turns = client.history(program).await.unwrap();
        expect_that!(turns.len(), eq(2));
        expect_that!(turns[0].messages[0], eq(&asked[0]));
        expect_that!(turns[0].messages[1].content, eq(&answer.content));
        expect_that!(turns.iter().all(|turn| turn.committed), eq(true));

        client.end(program).await.unwrap();
        let give_up = Instant::now() + STEP_LIMIT;
        while !path.engine.held().is_empty() && Instant::now() < give_up {
            Timer::after(Duration::from_millis(50)).await;
        }
        expect_that!(path.engine.held(), is_empty());
        expect_that!(path.log.counts().appends, ge(5));
        for daemon in path.daemons {
            daemon.kill();
        }
    });
}
