//! Settings files of the nodes in a local cluster.

use super::layout::{ClusterOptions, Endpoint, NodeSpec};
use super::platform::Platform;
use crate::protocol::vms::{NodeRole, Vm};
use std::fmt::Write;

/// Shared secret with which nodes authenticate their links.
const SECRET: &str = "a secret for loopback only";

/// Token of the operator `local`.
pub(super) const OPERATOR_TOKEN: &str = "local-operator-token";

/// Returns the text of a node's settings file.
pub(super) fn node_settings(
    spec: &NodeSpec,
    vms: &[Vm],
    platform: &Platform,
    options: &ClusterOptions,
) -> String {
    let mut text = String::new();
    // Writing to a String never fails.
    let _ = write_sections(&mut text, spec, vms, platform, options);
    text
}

fn write_sections(
    text: &mut String,
    spec: &NodeSpec,
    vms: &[Vm],
    platform: &Platform,
    options: &ClusterOptions,
) -> std::fmt::Result {
    writeln!(text, "[node]\nname = {}\nrole = {}", spec.name, spec.role())?;
    writeln!(text, "failure_domain = {}", spec.failure_domain)?;
    writeln!(text, "[listen]\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0")?;
    writeln!(text, "[keys]\nsecret = {SECRET}")?;
    writeln!(text, "[log]\nlevel = {}", options.log_level)?;
    writeln!(text, "[platform]\nlog_url = {}", platform.log.url())?;
    writeln!(text, "vms_url = {}", platform.vms.url())?;
    writeln!(text, "weights_url = {}", platform.weights.url())?;
    write_nodes(text, "entries", NodeRole::Entry, vms)?;
    write_nodes(text, "peers", NodeRole::Sidecar, vms)?;
    if let Some(endpoint) = spec.endpoint {
        write_endpoint(text, endpoint, platform)?;
    }
    let operator_token_hash = blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex();
    writeln!(text, "[operators]\nlocal = {operator_token_hash}")?;
    writeln!(text, "[partition]\ncount = {}", options.partitions)?;
    writeln!(text, "append_interval_ms = {}", options.append_interval_ms)?;
    writeln!(
        text,
        "[timing]\nconfirm_lapse_ms = {}",
        options.confirm_lapse_ms
    )?;
    text.write_str(&options.extra_settings)
}

fn write_nodes(text: &mut String, section: &str, role: NodeRole, vms: &[Vm]) -> std::fmt::Result {
    writeln!(text, "[{section}]")?;
    for vm in vms.iter().filter(|vm| vm.role == role) {
        writeln!(text, "{} = {}", vm.node, vm.address)?;
    }
    Ok(())
}

fn write_endpoint(text: &mut String, endpoint: Endpoint, platform: &Platform) -> std::fmt::Result {
    writeln!(
        text,
        "[endpoint]\nurl = {}",
        platform.endpoint_url(endpoint)
    )?;
    match endpoint {
        Endpoint::Engine(deployment, _) => {
            writeln!(text, "kind = engine\nmodels = {}", deployment.model())?;
            writeln!(text, "checks_fencing = true")
        }
        Endpoint::Service(deployment, _) => {
            writeln!(text, "kind = service\nservice = {}", deployment.service())
        }
    }
}
