//! HTTP client for the platform's list of VMs.

#[cfg(test)]
mod tests;

use crate::http::{HttpClient, HttpRequest};
use crate::protocol::vms::{Vm, VmList};
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::time::Duration;
use trillium_client::Method;

/// HTTP client of the platform's list of VMs: `GET /v1/vms` returns a JSON array.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    http: HttpClient,
}

impl HttpVmList {
    /// Creates a client for a base URL such as `http://127.0.0.1:80`. `timeout` limits a whole
    /// response.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(base, timeout),
        }
    }
}

impl VmList for HttpVmList {
    async fn vms(&self) -> Option<Vec<Vm>> {
        let request = HttpRequest::new(Method::Get, "/v1/vms");
        let response = self.http.send(request).await.ok()?;
        if response.status != 200 {
            return None;
        }
        parse_list(&response.body)
    }
}

/// Parses the list and skips the entries that cannot be read, which other programs may have written.
///
/// Returns `None` if the list is no JSON array, or has entries of which none can be read.
fn parse_list(body: &[u8]) -> Option<Vec<Vm>> {
    // Entries are kept as text first, so that one that is nested too deeply does not end the parse.
    let entries: Vec<&RawValue> = match serde_json::from_slice(body) {
        Ok(entries) => entries,
        Err(error) => {
            log::warn!(target: "entry", "entry: the list of VMs is unreadable: {error}");
            return None;
        }
    };
    let vms = entries.iter().enumerate().filter_map(|(index, entry)| {
        let vm = parse_entry(entry);
        vm.map_err(|error| {
            log::warn!(target: "entry", "entry: entry {index} of the list of VMs is skipped: {error}");
        })
        .ok()
    });
    let vms: Vec<Vm> = vms.collect();
    (entries.is_empty() || !vms.is_empty()).then_some(vms)
}

fn parse_entry(entry: &RawValue) -> Result<Vm, String> {
    let vm: Vm = serde_json::from_str(entry.get()).map_err(|error| error.to_string())?;
    match vm.address.parse::<SocketAddr>() {
        Ok(_) => Ok(vm),
        Err(_) => Err(format!("{:?} is not a socket address", vm.address)),
    }
}
