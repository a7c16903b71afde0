//! Tests of a daemon against peers that a test plays over links.

use super::{Daemon, Node};
use crate::entry::{Environments, NoRequests, ServedEnvironment};
use crate::environment::Environment;
use crate::protocol::caller::{CallRequest, ProgramRequest};
use crate::protocol::link::{Digest, LinkProtocol, Reply, Request};
use crate::protocol::message::{Message, Role};
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::settings::Settings;
use crate::standin::{LogConfig, LogStandin};
use crate::transport::handshake::Identity;
use crate::transport::link::{Context, LinkTiming, Traffic};
use crate::transport::pool::LinkPool;
use crate::transport::spawn::Runtime;
use crate::{CallError, Client};
use googletest::prelude::*;
use std::sync::Arc;

const SECRET: &str = "the deployment's own secret";
const TOKEN: &str = "token of saa";
/// A token that version 2 adds.
const NEW_TOKEN: &str = "token of tn";

async fn start_entry(log: &LogStandin) -> Daemon {
    let text = format!(
        "[node]\nname = n0\nrole = entry\nfailure_domain = a\n\
         [listen]\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n\
         [keys]\nsecret = {SECRET}\n[platform]\nlog_url = {}\n",
        log.url()
    );
    let settings = match Settings::parse(&text, "node.ini", |_| None) {
        Ok(settings) => settings,
        Err(faults) => panic!("{faults}"),
    };
    Daemon::start(settings).await.unwrap()
}

fn environments(entry: &Daemon) -> &Environments {
    match &entry.node {
        Node::Entry(entry) => entry.environments(),
        Node::Sidecar(_) => panic!("the daemon is a sidecar"),
    }
}

/// Puts a version in force; version 2 has a client account and a service more than version 1.
fn put_in_force(entry: &Daemon, version: u64) {
    let hash = |token: &str| blake3::hash(token.as_bytes()).to_hex();
    let mut text = format!(
        "[environment]\nname = tn-north\n[member saa]\ntoken_hash = {}\n",
        hash(TOKEN)
    );
    if version >= 2 {
        text += &format!("[member tn]\ntoken_hash = {}\n", hash(NEW_TOKEN));
        text += "[service bank-core]\noperations = balance\n[model matcher-llm]\nversion = 1\n";
    }
    let document = Environment::parse(&text, "tn-north.ini").unwrap();
    let served = ServedEnvironment {
        document: Arc::new(document),
        production: true,
    };
    assert!(environments(entry).update(version, vec![served]));
}

/// Probes the entry once, as a peer that has the given version in force.
async fn report_version(entry: &Daemon, version: u64) {
    let runtime = Runtime::start("n1", 1).unwrap();
    let links: LinkPool<LinkProtocol, NoRequests> = LinkPool::new(Context {
        identity: Identity {
            node: "n1".to_string(),
            incarnation: 1,
            secret: SECRET.as_bytes().into(),
        },
        timing: LinkTiming::default(),
        spawner: runtime.spawner(),
        handler: NoRequests,
        traffic: Arc::<Traffic>::default(),
    });
    links.set_address("n0", &entry.link_address().to_string());
    let digest = Digest {
        node: "n1".to_string(),
        incarnation: 1,
        configuration: version,
        ..Digest::default()
    };
    let reply = links.ask("n0", Request::Probe(digest)).await.unwrap();
    assert!(matches!(reply, Reply::Probed(_)), "{reply:?}");
}

fn client(entry: &Daemon, token: &str) -> Client {
    Client::new([entry.http_address().to_string()], token)
}

fn code(refusal: &Refusal) -> (RefusalCode, bool) {
    (refusal.code, refusal.retry_after_ms.is_some())
}

/// Returns the codes of the refusals that the configuration decides, and whether each names a delay.
async fn refusals(entry: &Daemon) -> Vec<(RefusalCode, bool)> {
    let mut errors = Vec::new();
    let create = ProgramRequest::default();
    errors.push(client(entry, NEW_TOKEN).create(&create).await.err());
    let create = ProgramRequest {
        deadline_ms: Some(u64::MAX / 4),
        ..ProgramRequest::default()
    };
    let known = client(entry, TOKEN);
    errors.push(known.create(&create).await.err());
    let messages = vec![Message::new(Role::User, "who can mend a gate")];
    let model = CallRequest::model("matcher-llm", messages, 8);
    errors.push(known.call(1, &model).await.err());
    let tool = CallRequest::tool("bank-core", "balance", serde_json::json!({}));
    errors.push(known.call(1, &tool).await.err());
    let refusals = errors.iter().map(|error| match error {
        Some(CallError::Refused(refusal)) => code(refusal),
        other => panic!("not a refusal: {other:?}"),
    });
    refusals.collect()
}

/// Guards against final refusals (401, 400) of what a version allows that a peer has in force.
#[gtest]
fn an_entry_behind_a_peer_refuses_nothing_for_good() {
    smol::block_on(async {
        let log = LogStandin::start(LogConfig::default()).await.unwrap();
        let entry = start_entry(&log).await;
        put_in_force(&entry, 1);
        let invalid = (RefusalCode::Invalid, false);
        let unauthorized = (RefusalCode::Unauthorized, false);
        let as_version_1 = vec![unauthorized, invalid, invalid, invalid];
        expect_that!(refusals(&entry).await, eq(&as_version_1));

        report_version(&entry, 2).await;
        let temporary = (RefusalCode::NoOwner, true);
        expect_that!(refusals(&entry).await, eq(&vec![temporary; 4]));

        put_in_force(&entry, 2);
        let guessed = client(&entry, "guessed");
        let refused = guessed.create(&ProgramRequest::default()).await;
        let Err(CallError::Refused(refused)) = refused else {
            panic!("not a refusal: {refused:?}");
        };
        expect_that!(code(&refused), eq(unauthorized));
        let added = client(&entry, NEW_TOKEN);
        let created = added.create(&ProgramRequest::default()).await;
        expect_that!(created, ok(anything()));
    });
}
