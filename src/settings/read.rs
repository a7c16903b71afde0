//! Reads and validates the settings, section by section.

use super::parts::{
    EndpointKind, EndpointSettings, LimitSettings, ListenSettings, LogFormat, LogSettings,
    NodeSettings, OperatorKey, PartitionSettings, PlatformSettings, TimingSettings,
};
use super::secret::Secret;
use super::{SettingErrors, Settings};
use crate::ids::NodeId;
use crate::ini::{Document, Fault, FaultKind, Faults, KnownSections, Reader, parse_hash};
use crate::limits::MAX_REQUEST_BYTES;
use crate::protocol::vms::NodeRole;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Sections of a settings file.
const SECTIONS: KnownSections = KnownSections {
    plain: &[
        "node",
        "listen",
        "platform",
        "entries",
        "peers",
        "endpoint",
        "keys",
        "operators",
        "limits",
        "log",
        "partition",
        "timing",
    ],
    named: &[],
};

/// Function that looks up an environment variable.
type VariableLookup<'a> = &'a dyn Fn(&str) -> Option<String>;

// Descriptions of the allowed values, shown with faults.
const ALLOWED_ADDRESS: &str = "IP:port, such as 10.0.0.7:7000 or [fd00::7]:7000";
const ALLOWED_URL: &str = "an http:// URL, such as http://10.0.0.2:9000";
const ALLOWED_LEVEL: &str = "off, error, warn, info, debug or trace";
const ALLOWED_HASH: &str = "the BLAKE3 hash of the token, 64 hexadecimal digits";
const ALLOWED_SECRET: &str =
    "a text of at least 16 bytes, or secret_env = NAME of a variable that holds it";

/// Shortest accepted deployment secret.
const MIN_SECRET_BYTES: usize = 16;

/// Suffix of keys that name an environment variable.
const VARIABLE_SUFFIX: &str = "_env";

/// Prefix of keys that set the level of a log target.
const LEVEL_PREFIX: &str = "level.";

/// Reads the text of a settings file; `file` is its name in messages.
pub(super) fn read(
    text: &str,
    file: &str,
    variable: VariableLookup<'_>,
) -> Result<Settings, SettingErrors> {
    let document = Document::parse(file, text);
    let mut faults = SECTIONS.check(&document);
    if !document.faults.is_empty() {
        return Err(Faults::sorted(faults));
    }
    let node = read_node(&document, &mut faults);
    let settings = Settings {
        endpoint: read_endpoint(&document, node.role, &mut faults),
        node,
        listen: read_listen(&document, &mut faults),
        platform: read_platform(&document, &mut faults),
        entries: read_addresses(&document, "entries", &mut faults),
        sidecars: read_addresses(&document, "peers", &mut faults),
        secret: read_secret(&document, variable, &mut faults),
        operators: read_operators(&document, variable, &mut faults),
        limits: read_limits(&document, &mut faults),
        log: read_log(&document, &mut faults),
        partition: read_partition(&document, &mut faults),
        timing: read_timing(&document, &mut faults),
    };
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(Faults::sorted(faults))
    }
}

fn read_node(document: &Document, faults: &mut Vec<Fault>) -> NodeSettings {
    let mut reader = Reader::new(document, "node");
    let role = reader.parse("role", "entry or sidecar", |text| text.parse().ok());
    if role.is_none() {
        reader.missing("role", "entry or sidecar");
    }
    let node = NodeSettings {
        name: reader.required("name", "a name that no other node has"),
        role: role.unwrap_or(NodeRole::Entry),
        failure_domain: reader.required("failure_domain", "a name, such as tn-north-a"),
        region: reader.text("region", "a name").unwrap_or_default(),
    };
    faults.extend(reader.finish());
    node
}

fn read_listen(document: &Document, faults: &mut Vec<Fault>) -> ListenSettings {
    let loopback = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let mut reader = Reader::new(document, "listen");
    let listen = ListenSettings {
        http: reader.value("http", ALLOWED_ADDRESS, loopback),
        link: reader.value("link", ALLOWED_ADDRESS, loopback),
    };
    faults.extend(reader.finish());
    listen
}

fn read_platform(document: &Document, faults: &mut Vec<Fault>) -> PlatformSettings {
    let mut reader = Reader::new(document, "platform");
    let platform = PlatformSettings {
        log_url: reader.parse("log_url", ALLOWED_URL, parse_http_url),
        vms_url: reader.parse("vms_url", ALLOWED_URL, parse_http_url),
        weights_url: reader.parse("weights_url", ALLOWED_URL, parse_http_url),
    };
    faults.extend(reader.finish());
    platform
}

/// Returns an `http://` URL without trailing slashes; `None` for any other text.
fn parse_http_url(text: &str) -> Option<String> {
    let rest = text.strip_prefix("http://")?;
    (!rest.is_empty()).then(|| text.trim_end_matches('/').to_string())
}

fn read_addresses(
    document: &Document,
    name: &str,
    faults: &mut Vec<Fault>,
) -> BTreeMap<NodeId, SocketAddr> {
    let mut reader = Reader::new(document, name);
    let mut addresses = BTreeMap::new();
    for entry in reader.entries() {
        if let Some(address) = reader.parse(&entry.key, ALLOWED_ADDRESS, |text| text.parse().ok()) {
            addresses.insert(entry.key.clone(), address);
        }
    }
    faults.extend(reader.finish_with_any_keys());
    addresses
}

fn read_endpoint(
    document: &Document,
    role: NodeRole,
    faults: &mut Vec<Fault>,
) -> Option<EndpointSettings> {
    let mut reader = Reader::new(document, "endpoint");
    let is_present = document.section("endpoint").is_some();
    if role == NodeRole::Entry {
        if is_present {
            let line = document.section("endpoint").map(|section| section.line);
            let read = "an endpoint of an entry".to_string();
            let allowed = "this section only with role = sidecar".to_string();
            reader.fault("", line, FaultKind::Value { read, allowed });
        }
        faults.extend(reader.finish_with_any_keys());
        return None;
    }
    let kind = reader.parse("kind", "engine or service", |text| text.parse().ok());
    if kind.is_none() {
        reader.missing("kind", "engine or service");
    }
    let url = reader.parse("url", ALLOWED_URL, parse_http_url);
    if url.is_none() {
        reader.missing("url", ALLOWED_URL);
    }
    let endpoint = EndpointSettings {
        kind: kind.unwrap_or(EndpointKind::Engine),
        url: url.unwrap_or_default(),
        service: reader
            .text("service", "a service's name")
            .unwrap_or_default(),
        models: reader.list("models"),
        checks_fencing: reader.value("checks_fencing", "true or false", false),
    };
    if kind == Some(EndpointKind::Service) && endpoint.service.is_empty() {
        reader.missing("service", "the service's name in the environment documents");
    }
    faults.extend(reader.finish());
    Some(endpoint)
}

fn read_secret(
    document: &Document,
    variable: VariableLookup<'_>,
    faults: &mut Vec<Fault>,
) -> Secret {
    let mut reader = Reader::new(document, "keys");
    let literal = reader.entry("secret");
    let from_variable = reader.entry("secret_env");
    let (entry, value) = match (literal, from_variable) {
        (Some(entry), _) => (Some(entry), Some(entry.value.clone())),
        (None, Some(entry)) => (Some(entry), variable(&entry.value)),
        (None, None) => (None, None),
    };
    let secret = value.filter(|value| value.len() >= MIN_SECRET_BYTES);
    match (entry, &secret) {
        (Some(entry), None) => reader.invalid_value(entry, "(not shown)", ALLOWED_SECRET),
        (None, None) => reader.missing("secret", ALLOWED_SECRET),
        _ => {}
    }
    faults.extend(reader.finish());
    Secret::new(secret.unwrap_or_default())
}

/// Reads the keys `NAME = HASH` and `NAME_env = VARIABLE`.
fn read_operators(
    document: &Document,
    variable: VariableLookup<'_>,
    faults: &mut Vec<Fault>,
) -> Vec<OperatorKey> {
    let mut reader = Reader::new(document, "operators");
    let mut operators = Vec::new();
    for entry in reader.entries() {
        reader.entry(&entry.key);
        let (name, text) = match entry.key.strip_suffix(VARIABLE_SUFFIX) {
            Some(name) => (name, variable(&entry.value)),
            None => (entry.key.as_str(), Some(entry.value.clone())),
        };
        match text.and_then(|text| parse_hash(&text)) {
            Some(token_hash) => operators.push(OperatorKey {
                name: name.to_string(),
                token_hash,
            }),
            None => reader.invalid_value(entry, "(not shown)", ALLOWED_HASH),
        }
    }
    faults.extend(reader.finish_with_any_keys());
    operators
}

fn read_limits(document: &Document, faults: &mut Vec<Fault>) -> LimitSettings {
    let default = LimitSettings::default();
    let mut reader = Reader::new(document, "limits");
    let limits = LimitSettings {
        max_body_bytes: reader.number(
            "max_body_bytes",
            1_024..=MAX_REQUEST_BYTES as usize,
            default.max_body_bytes,
        ),
        open_calls: reader.number("open_calls", 1..=1_000_000, default.open_calls),
        queued_calls: reader.number("queued_calls", 1..=1_000_000, default.queued_calls),
        shutdown_limit_s: reader.number("shutdown_limit_s", 1..=86_400, default.shutdown_limit_s),
        backlog_bytes: reader.number("backlog_bytes", 0..=1 << 40, default.backlog_bytes),
        history_cache_bytes: reader.number(
            "history_cache_bytes",
            0..=1 << 40,
            default.history_cache_bytes,
        ),
    };
    faults.extend(reader.finish());
    limits
}

fn read_log(document: &Document, faults: &mut Vec<Fault>) -> LogSettings {
    let default = LogSettings::default();
    let mut reader = Reader::new(document, "log");
    let mut log = LogSettings {
        level: reader.value("level", ALLOWED_LEVEL, default.level),
        format: reader.value("format", "text or json", LogFormat::default()),
        target_levels: BTreeMap::new(),
    };
    for entry in reader.entries() {
        let Some(target) = entry.key.strip_prefix(LEVEL_PREFIX) else {
            continue;
        };
        if let Some(level) = reader.parse(&entry.key, ALLOWED_LEVEL, |text| text.parse().ok()) {
            log.target_levels.insert(target.to_string(), level);
        }
    }
    faults.extend(reader.finish());
    log
}

fn read_partition(document: &Document, faults: &mut Vec<Fault>) -> PartitionSettings {
    let default = PartitionSettings::default();
    let mut reader = Reader::new(document, "partition");
    let partition = PartitionSettings {
        count: reader.number("count", 1..=1_024, default.count),
        append_interval_ms: reader.number(
            "append_interval_ms",
            0..=10_000,
            default.append_interval_ms,
        ),
        appends_per_s: reader.number("appends_per_s", 1..=100_000, default.appends_per_s),
        retention_s: reader.number("retention_s", 60..=31_536_000, default.retention_s),
        idle_program_s: reader.number("idle_program_s", 1..=604_800, default.idle_program_s),
        ended_program_s: reader.number("ended_program_s", 0..=2_592_000, default.ended_program_s),
    };
    faults.extend(reader.finish());
    partition
}

fn read_timing(document: &Document, faults: &mut Vec<Fault>) -> TimingSettings {
    let default = TimingSettings::default();
    let mut reader = Reader::new(document, "timing");
    let mut millis = |key, default| reader.number(key, 1..=86_400_000, default);
    let timing = TimingSettings {
        probe_interval_ms: millis("probe_interval_ms", default.probe_interval_ms),
        suspect_after_ms: millis("suspect_after_ms", default.suspect_after_ms),
        failed_after_ms: millis("failed_after_ms", default.failed_after_ms),
        link_ping_ms: millis("link_ping_ms", default.link_ping_ms),
        link_silence_ms: millis("link_silence_ms", default.link_silence_ms),
        redial_ms: millis("redial_ms", default.redial_ms),
        vms_interval_ms: millis("vms_interval_ms", default.vms_interval_ms),
        log_timeout_ms: millis("log_timeout_ms", default.log_timeout_ms),
        first_token_ms: millis("first_token_ms", default.first_token_ms),
        token_gap_ms: millis("token_gap_ms", default.token_gap_ms),
        service_timeout_ms: millis("service_timeout_ms", default.service_timeout_ms),
        confirm_lapse_ms: millis("confirm_lapse_ms", default.confirm_lapse_ms),
    };
    faults.extend(reader.finish());
    timing
}
