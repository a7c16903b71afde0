//! Reads and validates environment documents, section by section.

use super::parts::{
    BudgetRules, CacheRules, ClientAccount, DeadlineRules, LimitRules, Model, Objectives,
    PromotionRules, RateLimit, ServiceRules,
};
use super::{Environment, EnvironmentErrors};
use crate::ids::{ClientAccountId, EnvironmentId, FailureDomain};
use crate::ini::{
    Document, Entry, Fault, FaultKind, Faults, KnownSections, Reader, Section, parse_hash,
    split_list,
};
use crate::protocol::message::Usage;
use std::collections::BTreeMap;

/// Sections of an environment document.
const SECTIONS: KnownSections = KnownSections {
    plain: &[
        "environment",
        "budget",
        "deadline",
        "objectives",
        "limits",
        "cache",
        "promotion",
    ],
    named: &["model", "service", "member"],
};

// Descriptions of the allowed values, shown with faults.
const ALLOWED_NAME: &str = "lower-case letters, digits and hyphens, at most 63";
const ALLOWED_HASH: &str =
    "the BLAKE3 hash of the token, 64 hexadecimal digits; `galenapick env token` makes one";
const ALLOWED_ADAPTERS: &str = "NAME:VERSION, separated by commas";
const ALLOWED_SHARE: &str = "a number above 0 and below 1, such as 0.95";

/// Largest accepted value of a count or a time.
const MAX_COUNT: u64 = 1 << 40;

/// Reads an environment document; `file` is its name in messages.
pub(super) fn read(text: &str, file: &str) -> Result<Environment, EnvironmentErrors> {
    let document = Document::parse(file, text);
    let mut faults = SECTIONS.check(&document);
    if !document.faults.is_empty() {
        return Err(Faults::sorted(faults));
    }
    let (name, failure_domains) = read_identity(&document, &mut faults);
    let limits = read_limits(&document, &mut faults);
    let environment = Environment {
        name,
        failure_domains,
        models: read_named(&document, "model", &mut faults, read_model),
        services: read_named(&document, "service", &mut faults, read_service),
        client_accounts: read_client_accounts(&document, limits.rate, &mut faults),
        budget: read_budget(&document, &mut faults),
        deadline: read_deadline(&document, &mut faults),
        objectives: read_objectives(&document, &mut faults),
        limits,
        cache: read_cache(&document, &mut faults),
        promotion: read_promotion(&document, &mut faults),
    };
    if faults.is_empty() {
        Ok(environment)
    } else {
        Err(Faults::sorted(faults))
    }
}

fn read_identity(
    document: &Document,
    faults: &mut Vec<Fault>,
) -> (EnvironmentId, Vec<FailureDomain>) {
    let mut reader = Reader::new(document, "environment");
    let name = reader.parse("name", ALLOWED_NAME, parse_name);
    if name.is_none() {
        reader.missing("name", ALLOWED_NAME);
    }
    let failure_domains = reader.list("failure_domains");
    faults.extend(reader.finish());
    (name.unwrap_or_default(), failure_domains)
}

/// Returns a name that is safe in URLs, stream names and file names; `None` for any other text.
fn parse_name(text: &str) -> Option<String> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let is_valid = !text.is_empty() && text.len() <= 63 && text.chars().all(allowed);
    is_valid.then(|| text.to_string())
}

/// Reads all sections `KIND NAME` into a map by name.
fn read_named<'a, T>(
    document: &'a Document,
    kind: &str,
    faults: &mut Vec<Fault>,
    read: impl Fn(&mut Reader<'a>) -> T,
) -> BTreeMap<String, T> {
    let mut all = BTreeMap::new();
    for (name, section) in named_sections(document, kind) {
        let mut reader = Reader::for_section(document, section);
        check_name(&mut reader, name, section.line);
        all.insert(name.to_string(), read(&mut reader));
        faults.extend(reader.finish());
    }
    all
}

/// Returns the sections `KIND NAME` with their names.
fn named_sections<'a>(
    document: &'a Document,
    kind: &str,
) -> impl Iterator<Item = (&'a str, &'a Section)> {
    document.sections.iter().filter_map(move |section| {
        let name = section.name.strip_prefix(kind)?.strip_prefix(' ')?;
        Some((name.trim(), section))
    })
}

fn check_name(reader: &mut Reader<'_>, name: &str, line: usize) {
    if parse_name(name).is_none() {
        let read = name.to_string();
        let allowed = ALLOWED_NAME.to_string();
        reader.fault("", Some(line), FaultKind::Value { read, allowed });
    }
}

fn read_model(reader: &mut Reader<'_>) -> Model {
    let version = reader.number("version", 1..=u32::MAX, 0);
    if version == 0 {
        reader.missing("version", "a number from 1 up");
    }
    let servers = reader.number("servers", 1..=100_000, 1);
    Model {
        version,
        servers,
        warm_copies: reader.number("warm_copies", 1..=servers, 1),
        adapters: reader
            .parse("adapters", ALLOWED_ADAPTERS, parse_adapters)
            .unwrap_or_default(),
    }
}

/// Parses `NAME:VERSION, NAME:VERSION`; `None` if an item is invalid or a name is repeated.
fn parse_adapters(text: &str) -> Option<BTreeMap<String, u32>> {
    let mut adapters = BTreeMap::new();
    for item in split_list(text) {
        let (name, version) = item.split_once(':')?;
        let version = version.trim().parse().ok().filter(|version| *version > 0)?;
        if adapters.insert(parse_name(name.trim())?, version).is_some() {
            return None;
        }
    }
    Some(adapters)
}

fn read_service(reader: &mut Reader<'_>) -> ServiceRules {
    let operations = reader.list("operations");
    if operations.is_empty() {
        reader.missing("operations", "names, separated by commas");
    }
    let non_repeatable = reader.list("non_repeatable");
    let undeclared = non_repeatable
        .iter()
        .find(|name| !operations.contains(name));
    if let Some(name) = undeclared {
        report_value(
            reader,
            "non_repeatable",
            name,
            "names that stand in operations too",
        );
    }
    ServiceRules {
        servers: reader.number("servers", 1..=100_000, 1),
        operations,
        non_repeatable,
        timeout_ms: reader.number("timeout_ms", 1..=3_600_000, 30_000),
    }
}

/// Reports an invalid value of a key that is set in the section.
fn report_value(reader: &mut Reader<'_>, key: &str, read: &str, allowed: &str) {
    let entry = reader.entries().iter().find(|entry| entry.key == key);
    if let Some(entry) = entry {
        reader.invalid_value(entry, read, allowed);
    }
}

fn read_client_accounts(
    document: &Document,
    environment_limits: RateLimit,
    faults: &mut Vec<Fault>,
) -> BTreeMap<ClientAccountId, ClientAccount> {
    let client_accounts = read_named(document, "member", faults, |reader| {
        read_client_account(reader, environment_limits)
    });
    if client_accounts.is_empty() {
        let mut reader = Reader::new(document, "member NAME");
        reader.missing("", "at least one section [member NAME] with its token_hash");
        faults.extend(reader.finish_with_any_keys());
    }
    report_shared_tokens(document, faults);
    client_accounts
}

fn read_client_account(reader: &mut Reader<'_>, environment_limits: RateLimit) -> ClientAccount {
    let hash = reader.entry("token_hash");
    let token_hash = hash.and_then(|entry| parse_hash(&entry.value));
    match (hash, token_hash) {
        (Some(entry), None) => reader.invalid_value(entry, &entry.value, ALLOWED_HASH),
        (None, _) => reader.missing("token_hash", ALLOWED_HASH),
        _ => {}
    }
    ClientAccount {
        token_hash: token_hash.unwrap_or_default(),
        share: reader.number("share", 0.01..=100.0, 1.0),
        limits: read_rate(reader, environment_limits),
    }
}

/// Reports client accounts with the token hash of an earlier one: a token must identify one client
/// account.
fn report_shared_tokens(document: &Document, faults: &mut Vec<Fault>) {
    let mut seen: Vec<(&str, &Entry)> = Vec::new();
    for (name, section) in named_sections(document, "member") {
        let hash = section
            .entries
            .iter()
            .find(|entry| entry.key == "token_hash");
        let Some(hash) = hash else {
            continue;
        };
        let first = seen.iter().find(|(_, entry)| entry.value == hash.value);
        if let Some((first, _)) = first {
            let mut reader = Reader::for_section(document, section);
            let read = format!("the hash of member {first}");
            reader.invalid_value(hash, &read, "a token of its own for each member");
            faults.extend(reader.finish_with_any_keys());
        }
        seen.push((name, hash));
    }
}

fn read_rate(reader: &mut Reader<'_>, default: RateLimit) -> RateLimit {
    RateLimit {
        open_calls: reader.number("open_calls", 1..=1_000_000, default.open_calls),
        calls_per_s: reader.number("calls_per_s", 0.01..=1_000_000.0, default.calls_per_s),
        burst_calls: reader.number("burst_calls", 1..=1_000_000, default.burst_calls),
    }
}

fn read_budget(document: &Document, faults: &mut Vec<Fault>) -> BudgetRules {
    let mut reader = Reader::new(document, "budget");
    let default = Usage {
        tokens: reader.number("tokens", 1..=MAX_COUNT, 200_000),
        calls: reader.number("calls", 1..=MAX_COUNT, 100),
        time_ms: reader.number("time_ms", 1..=MAX_COUNT, 600_000),
    };
    let max = Usage {
        tokens: reader.number("max_tokens", default.tokens..=MAX_COUNT, default.tokens),
        calls: reader.number("max_calls", default.calls..=MAX_COUNT, default.calls),
        time_ms: reader.number("max_time_ms", default.time_ms..=MAX_COUNT, default.time_ms),
    };
    faults.extend(reader.finish());
    BudgetRules { default, max }
}

fn read_deadline(document: &Document, faults: &mut Vec<Fault>) -> DeadlineRules {
    let mut reader = Reader::new(document, "deadline");
    let default_ms = reader.number("default_ms", 1..=MAX_COUNT, 120_000);
    let max_ms = reader.number("max_ms", default_ms..=MAX_COUNT, default_ms.max(3_600_000));
    faults.extend(reader.finish());
    DeadlineRules { default_ms, max_ms }
}

fn read_objectives(document: &Document, faults: &mut Vec<Fault>) -> Objectives {
    let mut reader = Reader::new(document, "objectives");
    let objectives = Objectives {
        program_latency_ms: reader.number("program_latency_ms", 1..=MAX_COUNT, 30_000),
        program_latency_share: read_share(&mut reader, "program_latency_share", 0.95),
        first_token_ms: reader.number("first_token_ms", 1..=MAX_COUNT, 2_000),
        first_token_share: read_share(&mut reader, "first_token_share", 0.95),
        success_share: read_share(&mut reader, "success_share", 0.999),
    };
    faults.extend(reader.finish());
    objectives
}

fn read_share<'a>(reader: &mut Reader<'a>, key: &'a str, default: f64) -> f64 {
    reader
        .parse(key, ALLOWED_SHARE, |text| {
            text.parse()
                .ok()
                .filter(|share| *share > 0.0 && *share < 1.0)
        })
        .unwrap_or(default)
}

fn read_limits(document: &Document, faults: &mut Vec<Fault>) -> LimitRules {
    let default = RateLimit {
        open_calls: 1_000,
        calls_per_s: 200.0,
        burst_calls: 400,
    };
    let mut reader = Reader::new(document, "limits");
    let limits = LimitRules {
        rate: read_rate(&mut reader, default),
        retry_share: read_share(&mut reader, "retry_share", 0.1),
        trial_share: read_share(&mut reader, "trial_share", 0.2),
    };
    faults.extend(reader.finish());
    limits
}

fn read_cache(document: &Document, faults: &mut Vec<Fault>) -> CacheRules {
    let mut reader = Reader::new(document, "cache");
    let cache = CacheRules {
        hold_ms: reader.number("hold_ms", 0..=MAX_COUNT, 60_000),
        min_hold_tokens: reader.number("min_hold_tokens", 0..=MAX_COUNT, 256),
        move_caches: reader.value("move_caches", "true or false", true),
    };
    faults.extend(reader.finish());
    cache
}

fn read_promotion(document: &Document, faults: &mut Vec<Fault>) -> PromotionRules {
    let mut reader = Reader::new(document, "promotion");
    let promotion = PromotionRules {
        min_programs: reader.number("min_programs", 0..=MAX_COUNT, 100),
        max_burn_rate: reader.number("max_burn_rate", 0.01..=1_000.0, 1.0),
    };
    faults.extend(reader.finish());
    promotion
}
