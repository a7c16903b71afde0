//! Operator commands of the command-line tool, run against entries and sidecars in this process.

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

/// Maximum wait for one step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

const OPERATOR_TOKEN: &str = "token of alice";
const CLIENT_ACCOUNT_TOKEN: &str = "token of saa";

struct Cluster {
    log: LogStandin,
    engine: EngineStandin,
    entries: Vec<Daemon>,
    sidecars: Vec<Daemon>,
}

fn token_hash(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}

fn settings(name: &str, role: &str, sections: &str) -> Settings {
    let text = format!(
        "[node]\nname = {name}\nrole = {role}\nfailure_domain = a\n\
         [keys]\nsecret = the deployment's own secret\n\
         [operators]\nalice = {}\n[partition]\ncount = 4\n{sections}",
        token_hash(OPERATOR_TOKEN)
    );
    match Settings::parse(&text, "node.ini", |_| None) {
        Ok(settings) => settings,
        Err(faults) => panic!("{faults}"),
    }
}

async fn start_cluster(entries: usize, sidecars: usize) -> Cluster {
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
    cluster.add_all_nodes();
    cluster
}

impl Cluster {
    /// Adds all sidecars and entries to every entry's list of nodes.
    fn add_all_nodes(&self) {
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

    async fn run_tool(&self, entry: usize, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_galenapick"));
        command
            .args(args)
            .env("GALENAPICK_ENTRY", self.address(entry).to_string())
            .env("GALENAPICK_TOKEN", OPERATOR_TOKEN);
        smol::unblock(move || command.output()).await.unwrap()
    }

    async fn run_tool_json(&self, entry: usize, args: &[&str]) -> serde_json::Value {
        let output = self.run_tool(entry, &[args, &["--json"]].concat()).await;
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    /// Waits until the first entry reports that all nodes have a version.
    async fn wait_for_version(&self, version: u64) -> bool {
        let nodes = self.entries.len() + self.sidecars.len();
        let deadline = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < deadline {
            let statuses = self.run_tool_json(0, &["env", "status"]).await;
            let has_version = |node: &serde_json::Value| node[1] == version;
            let matching = statuses
                .as_array()
                .map(|list| list.iter().filter(|n| has_version(n)).count());
            if matching == Some(nodes) {
                return true;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        false
    }
}

fn environment_document(open_calls: u32) -> String {
    format!(
        "[environment]\nname = tn-north\n[model matcher-llm]\nversion = 1\n\
         [member saa]\ntoken_hash = {}\n[objectives]\nprogram_latency_ms = 60000\n\
         [limits]\nopen_calls = {open_calls}\n[promotion]\nmin_programs = 3\n",
        token_hash(CLIENT_ACCOUNT_TOKEN)
    )
}

/// A temporary directory for documents, removed on drop.
struct DocumentDir(std::path::PathBuf);

impl DocumentDir {
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

impl Drop for DocumentDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[gtest]
fn an_environment_is_applied_and_promoted_to_production() {
    smol::block_on(async {
        let cluster = start_cluster(2, 1).await;
        let documents = DocumentDir::new("life");
        let file = documents.write("tn-north.ini", &environment_document(10));

        let applied = cluster.run_tool_json(0, &["env", "apply", &file]).await;
        expect_that!(
            applied["outcome"].as_str(),
            some(eq("accepted")),
            "{applied}"
        );
        let version = applied["change"]["version"].as_u64().unwrap();
        expect_that!(cluster.wait_for_version(version).await, eq(true));

        let conflicting = documents.write("late.ini", &environment_document(20));
        let conflict = cluster.run_tool(1, &["env", "apply", &conflicting]).await;
        expect_that!(conflict.status.code(), some(eq(4)));
        let output = String::from_utf8_lossy(&conflict.stdout).into_owned();
        expect_that!(output, contains_substring("by alice"));
        expect_that!(output, contains_substring("[limits] open_calls: 20 -> 10"));

        let replaces = version.to_string();
        let premature = cluster
            .run_tool(0, &["env", "promote", "tn-north", "--replaces", &replaces])
            .await;
        expect_that!(premature.status.code(), some(eq(4)));
        let output = String::from_utf8_lossy(&premature.stdout).into_owned();
        expect_that!(output, contains_substring("0 programs of 3"));

        run_programs(&cluster, 3).await;
        let promoted = cluster
            .run_tool_json(0, &["env", "promote", "tn-north", "--replaces", &replaces])
            .await;
        expect_that!(
            promoted["outcome"].as_str(),
            some(eq("accepted")),
            "{promoted}"
        );
        let listed = cluster.run_tool_json(1, &["env", "list"]).await;
        expect_that!(listed[0]["stage"].as_str(), some(eq("production")));

        let programs = cluster.run_tool_json(1, &["programs"]).await;
        expect_that!(
            programs["items"].as_array().map(Vec::len),
            some(eq(3)),
            "{programs}"
        );
        let status = cluster.run_tool(1, &["status"]).await;
        let output = String::from_utf8_lossy(&status.stdout).into_owned();
        expect_that!(output, contains_substring("matcher-llm:1"));
        let burn = cluster.run_tool(0, &["burn"]).await;
        let output = String::from_utf8_lossy(&burn.stdout).into_owned();
        expect_that!(output, contains_substring("program_latency"));
        let burn = cluster.run_tool_json(0, &["burn"]).await;
        let lines = burn["lines"].as_array().cloned().unwrap_or_default();
        let first_token = lines.iter().find(|line| line["measure"] == "first_token");
        let call_count = first_token.and_then(|line| line["windows"][4]["total"].as_u64());
        expect_that!(call_count, some(eq(3)), "{burn}");
        expect_that!(output, contains_substring("0/3"));
    });
}

/// Runs programs of one call each through the first entry. Waits until the burn report counts them.
async fn run_programs(cluster: &Cluster, count: u64) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !cluster.entries[0].is_ready() && Instant::now() < deadline {
        Timer::after(Duration::from_millis(20)).await;
    }
    let client = Client::new([cluster.address(0).to_string()], CLIENT_ACCOUNT_TOKEN);
    for _ in 0..count {
        let program = client
            .create(&ProgramRequest::default())
            .await
            .unwrap()
            .program;
        let messages = vec![Message::new(Role::User, "who can mend a gate")];
        let call = CallRequest::model("matcher-llm", messages, 8);
        let mut stream = client.stream(program, &call).await.unwrap();
        while let Some(event) = stream.next().await {
            event.unwrap();
        }
        client.end(program).await.unwrap();
    }
    while Instant::now() < deadline {
        let burn = cluster.run_tool_json(0, &["burn"]).await;
        let lines = burn["lines"].as_array().cloned().unwrap_or_default();
        let is_counted = lines
            .iter()
            .any(|line| line["measure"] == "success" && line["windows"][4]["total"] == count);
        if is_counted {
            return;
        }
        Timer::after(Duration::from_millis(100)).await;
    }
    panic!("the burn report did not count the programs in time");
}

#[gtest]
fn a_version_accepted_right_before_a_log_outage_reaches_all_nodes() {
    smol::block_on(async {
        let cluster = start_cluster(4, 8).await;
        let documents = DocumentDir::new("outage");
        let file = documents.write("tn-north.ini", &environment_document(10));
        let applied = cluster.run_tool_json(2, &["env", "apply", &file]).await;
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
fn an_unknown_token_is_refused() {
    smol::block_on(async {
        let cluster = start_cluster(1, 0).await;
        let mut command = Command::new(env!("CARGO_BIN_EXE_galenapick"));
        command
            .args(["env", "list"])
            .env("GALENAPICK_ENTRY", cluster.address(0).to_string())
            .env("GALENAPICK_TOKEN", "guessed");
        let output = smol::unblock(move || command.output()).await.unwrap();
        expect_that!(output.status.code(), some(eq(1)));
        let output = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(output, contains_substring("token is missing or not known"));
        expect_that!(cluster.engine.cached_programs(), is_empty());
    });
}
