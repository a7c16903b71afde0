//! Operators through the tool's own binary, against entries and sidecars in this process.

use galenapick::protocol::caller::{CallRequest, ProgramRequest};
use galenapick::protocol::vms::NodeRole;
use galenapick::standin::{
    EngineConfig, EngineStandin, LogConfig, LogControl, LogStandin, Outage, TokenLedger,
};
use galenapick::{Client, Daemon, Message, Role, Settings};
use googletest::prelude::*;
use smol::Timer;
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// Longest wait for one step.
const STEP_LIMIT: Duration = Duration::from_secs(30);

const OPERATOR_TOKEN: &str = "token of alice";
const CLIENT_ACCOUNT_TOKEN: &str = "token of saa";

struct Cluster {
    log: LogStandin,
    engine: EngineStandin,
    entries: Vec<Daemon>,
    sidecars: Vec<Daemon>,
}

fn hash(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}

fn settings(name: &str, role: &str, rest: &str) -> Settings {
    let text = format!(
        "[node]\nname = {name}\nrole = {role}\nfailure_domain = a\n\
         [keys]\nsecret = the deployment's own secret\n\
         [operators]\nalice = {}\n[partition]\ncount = 4\n{rest}",
        hash(OPERATOR_TOKEN)
    );
    match Settings::parse(&text, "node.ini", |_| None) {
        Ok(settings) => settings,
        Err(faults) => panic!("{faults}"),
    }
}

async fn start(entries: usize, sidecars: usize) -> Cluster {
    let log = LogStandin::start(LogConfig::default()).await.unwrap();
    let engine = EngineConfig {
        models: vec![("matcher-llm".to_owned(), 1)],
        ..EngineConfig::default()
    };
    let engine = EngineStandin::start(engine, TokenLedger::default())
        .await
        .unwrap();
    let endpoint = format!(
        "[endpoint]\nkind = engine\nurl = {}\nmodels = matcher-llm\n",
        engine.url()
    );
    let mut cluster = Cluster {
        log,
        engine,
        entries: Vec::new(),
        sidecars: Vec::new(),
    };
    for number in 0..sidecars {
        let settings = settings(&format!("s{number:02}"), "sidecar", &endpoint);
        cluster
            .sidecars
            .push(Daemon::start(settings).await.unwrap());
    }
    for number in 0..entries {
        let platform = format!("[platform]\nlog_url = {}\n", cluster.log.url());
        let settings = settings(&format!("n{number}"), "entry", &platform);
        cluster.entries.push(Daemon::start(settings).await.unwrap());
    }
    cluster.introduce();
    cluster
}

impl Cluster {
    /// Tells every entry of all other nodes.
    fn introduce(&self) {
        for entry in &self.entries {
            for (number, sidecar) in self.sidecars.iter().enumerate() {
                let address = sidecar.link_address();
                entry.add_node(&format!("s{number:02}"), NodeRole::Sidecar, address, "a");
            }
            for (number, other) in self.entries.iter().enumerate() {
                let address = other.link_address();
                entry.add_node(&format!("n{number}"), NodeRole::Entry, address, "a");
            }
        }
    }

    fn address(&self, entry: usize) -> SocketAddr {
        self.entries[entry].http_address()
    }

    async fn tool(&self, entry: usize, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_galenapick"));
        command
            .args(args)
            .env("GALENAPICK_ENTRY", self.address(entry).to_string())
            .env("GALENAPICK_TOKEN", OPERATOR_TOKEN);
        smol::unblock(move || command.output()).await.unwrap()
    }

    async fn json(&self, entry: usize, args: &[&str]) -> serde_json::Value {
        let output = self.tool(entry, &[args, &["--json"]].concat()).await;
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    /// Waits until all nodes run a version, as every entry sees it.
    async fn wait_for_version(&self, version: u64) -> bool {
        let nodes = self.entries.len() + self.sidecars.len();
        let give_up = Instant::now() + STEP_LIMIT;
        while Instant::now() < give_up {
            let seen = self.json(0, &["env", "status"]).await;
            let at = |node: &serde_json::Value| node[1] == version;
            let all = seen
                .as_array()
                .map(|list| list.iter().filter(|n| at(n)).count());
            if all == Some(nodes) {
                return true;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        false
    }
}

fn document(open_calls: u32) -> String {
    format!(
        "[environment]\nname = tn-north\n[model matcher-llm]\nversion = 1\n\
         [member saa]\ntoken_hash = {}\n[objectives]\nprogram_latency_ms = 60000\n\
         [limits]\nopen_calls = {open_calls}\n[promotion]\nmin_programs = 3\n",
        hash(CLIENT_ACCOUNT_TOKEN)
    )
}

/// Writes a document to a file that is removed with the directory.
struct Documents(std::path::PathBuf);

impl Documents {
    fn new(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("galenapick-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Self(dir)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

impl Drop for Documents {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[gtest]
fn an_environment_from_its_first_version_to_production() {
    smol::block_on(async {
        let cluster = start(2, 1).await;
        let documents = Documents::new("life");
        let file = documents.write("tn-north.ini", &document(10));

        let applied = cluster.json(0, &["env", "apply", &file]).await;
        expect_that!(
            applied["outcome"].as_str(),
            some(eq("accepted")),
            "{applied}"
        );
        let version = applied["change"]["version"].as_u64().unwrap();
        expect_that!(cluster.wait_for_version(version).await, eq(true));

        let late = documents.write("late.ini", &document(20));
        let lost = cluster.tool(1, &["env", "apply", &late]).await;
        expect_that!(lost.status.code(), some(eq(4)));
        let told = String::from_utf8_lossy(&lost.stdout).into_owned();
        expect_that!(told, contains_substring("by alice"));
        expect_that!(told, contains_substring("[limits] open_calls: 20 -> 10"));

        let replaces = version.to_string();
        let early = cluster
            .tool(0, &["env", "promote", "tn-north", "--replaces", &replaces])
            .await;
        expect_that!(early.status.code(), some(eq(4)));
        let told = String::from_utf8_lossy(&early.stdout).into_owned();
        expect_that!(told, contains_substring("0 programs of 3"));

        run_programs(&cluster, 3).await;
        let promoted = cluster
            .json(0, &["env", "promote", "tn-north", "--replaces", &replaces])
            .await;
        expect_that!(
            promoted["outcome"].as_str(),
            some(eq("accepted")),
            "{promoted}"
        );
        let listed = cluster.json(1, &["env", "list"]).await;
        expect_that!(listed[0]["stage"].as_str(), some(eq("production")));

        let programs = cluster.json(1, &["programs"]).await;
        expect_that!(
            programs["items"].as_array().map(Vec::len),
            some(eq(3)),
            "{programs}"
        );
        let status = cluster.tool(1, &["status"]).await;
        let told = String::from_utf8_lossy(&status.stdout).into_owned();
        expect_that!(told, contains_substring("matcher-llm:1"));
        let burn = cluster.tool(0, &["burn"]).await;
        let told = String::from_utf8_lossy(&burn.stdout).into_owned();
        expect_that!(told, contains_substring("program_latency"));
        let burn = cluster.json(0, &["burn"]).await;
        let lines = burn["lines"].as_array().cloned().unwrap_or_default();
        let first = lines.iter().find(|line| line["measure"] == "first_token");
        let counted = first.and_then(|line| line["windows"][4]["total"].as_u64());
        expect_that!(counted, some(eq(3)), "{burn}");
        expect_that!(told, contains_substring("0/3"));
    });
}

/// Runs programs of one call each through the first entry and waits until they count.
async fn run_programs(cluster: &Cluster, count: u64) {
    let give_up = Instant::now() + STEP_LIMIT;
    while !cluster.entries[0].is_ready() && Instant::now() < give_up {
        Timer::after(Duration::from_millis(20)).await;
    }
    let client = Client::new([cluster.address(0).to_string()], CLIENT_ACCOUNT_TOKEN);
    for _ in 0..count {
        let program = client
            .create(&ProgramRequest::default())
            .await
            .unwrap()
            .program;
        let asked = vec![Message::new(Role::User, "who can mend a gate")];
        let call = CallRequest::model("matcher-llm", asked, 8);
        let mut stream = client.stream(program, &call).await.unwrap();
        while let Some(event) = stream.next().await {
            event.unwrap();
        }
        client.end(program).await.unwrap();
    }
    while Instant::now() < give_up {
        let burn = cluster.json(0, &["burn"]).await;
        let lines = burn["lines"].as_array().cloned().unwrap_or_default();
        let counted = lines
            .iter()
            .any(|line| line["measure"] == "success" && line["windows"][4]["total"] == count);
        if counted {
            return;
        }
        Timer::after(Duration::from_millis(100)).await;
    }
    panic!("the programs were not counted");
}

#[gtest]
fn a_version_accepted_right_before_a_log_outage_is_in_force_everywhere() {
    smol::block_on(async {
        let cluster = start(4, 8).await;
        let documents = Documents::new("outage");
        let file = documents.write("tn-north.ini", &document(10));
        let applied = cluster.json(2, &["env", "apply", &file]).await;
        cluster
            .log
            .control(LogControl {
                outage: Some(Outage::Refuse),
                ..LogControl::default()
            })
            .await;
        let version = applied["change"]["version"].as_u64();
        expect_that!(version, some(anything()), "{applied}");
        expect_that!(cluster.wait_for_version(version.unwrap()).await, eq(true));
    });
}

#[gtest]
fn without_a_known_token_nothing_is_told() {
    smol::block_on(async {
        let cluster = start(1, 0).await;
        let mut command = Command::new(env!("CARGO_BIN_EXE_galenapick"));
        command
            .args(["env", "list"])
            .env("GALENAPICK_ENTRY", cluster.address(0).to_string())
            .env("GALENAPICK_TOKEN", "guessed");
        let output = smol::unblock(move || command.output()).await.unwrap();
        expect_that!(output.status.code(), some(eq(1)));
        let told = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(told, contains_substring("token is missing or not known"));
        expect_that!(cluster.engine.cached_programs(), is_empty());
    });
}
