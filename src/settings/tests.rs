use super::{Secret, Settings};
use googletest::prelude::*;

const GOOD: &str = "\
[node]
name = e1
role = entry
failure_domain = tn-north-a
[listen]
http = 127.0.0.1:0
[entries]
e2 = 127.0.0.1:7001
[keys]
secret_env = SECRET
[operators]
alice = 0000000000000000000000000000000000000000000000000000000000000001
[log]
level = warn
level.sidecar = debug
[partition]
count = 4
";

fn variable(name: &str) -> Option<String> {
    (name == "SECRET").then(|| "a secret of some length".to_string())
}

#[gtest]
fn reads_all_sections() {
    let settings = Settings::parse(GOOD, "e1.ini", variable).unwrap();
    expect_that!(settings.node.name, eq("e1"));
    expect_that!(settings.entries.len(), eq(1));
    expect_that!(settings.operators[0].name, eq("alice"));
    expect_that!(settings.partition.count, eq(4));
    expect_that!(
        settings.log.target_levels["sidecar"],
        eq(log::LevelFilter::Debug)
    );
    expect_that!(settings.secret, eq(&Secret::new("a secret of some length")));
}

#[gtest]
fn debug_output_and_faults_contain_no_secrets() {
    let settings = Settings::parse(GOOD, "e1.ini", variable).unwrap();
    let shown = format!("{settings:?}");
    expect_that!(shown, not(contains_substring("a secret")));
    expect_that!(shown, not(contains_substring("0, 0, 1")));
    let faults = Settings::parse("[keys]\nsecret = short-one\n", "x.ini", |_| None).unwrap_err();
    expect_that!(faults.to_string(), not(contains_substring("short-one")));
}

#[gtest]
fn reports_all_faults_at_once() {
    let text = "\
[node]
nmae = e1
role = owner
[listen]
http = localhost:80
[kyes]
secret = x
[limits]
open_calls = 0
[endpoint]
kind = engine
";
    let faults = Settings::parse(text, "bad.ini", |_| None).unwrap_err();
    let shown: Vec<_> = faults.0.iter().map(ToString::to_string).collect();
    expect_that!(
        shown,
        unordered_elements_are![
            eq("bad.ini:1: [node] name: missing; allowed: a name that no other node has"),
            eq("bad.ini:1: [node] failure_domain: missing; allowed: a name, such as tn-north-a"),
            eq("bad.ini:2: [node] nmae: unknown key; nearest known: \"name\""),
            eq("bad.ini:3: [node] role: read \"owner\"; allowed: entry or sidecar"),
            contains_substring("bad.ini:5: [listen] http: read \"localhost:80\"; allowed: IP:port"),
            eq("bad.ini:6: [kyes] unknown section; nearest known: \"keys\""),
            contains_substring("bad.ini:9: [limits] open_calls: read \"0\"; allowed: a number"),
            contains_substring("bad.ini:10: [endpoint]"),
            contains_substring("[keys] secret: missing"),
        ]
    );
}

#[gtest]
fn a_sidecar_needs_its_endpoint() {
    let text = GOOD.replace("role = entry", "role = sidecar");
    let faults = Settings::parse(&text, "s.ini", variable).unwrap_err();
    expect_that!(
        faults.to_string(),
        contains_substring("[endpoint] kind: missing")
    );
    expect_that!(
        faults.to_string(),
        contains_substring("[endpoint] url: missing")
    );
}
