//! Limit that the latest answer of an endpoint stated.

use crate::protocol::rate::{RequestRate, StatedLimit};
use std::sync::{Arc, Mutex, PoisonError};

/// Limit on the rate of requests. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct StatedRate {
    latest: Arc<Mutex<Option<RequestRate>>>,
}

impl StatedRate {
    /// Records what the header of an answer states. A value that is no rate changes nothing.
    pub(crate) fn observe(&self, header: Option<&str>) {
        let stated = match StatedLimit::parse(header) {
            StatedLimit::Limited(rate) => Some(rate),
            StatedLimit::None => None,
            StatedLimit::Unreadable => {
                log::warn!(target: "sidecar", "sidecar: endpoint states a limit that is no number");
                return;
            }
        };
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        if *latest != stated {
            log::info!(
                target: "sidecar",
                "sidecar: endpoint limits its requests to {stated:?}, before {latest:?}"
            );
            *latest = stated;
        }
    }

    pub(crate) fn get(&self) -> Option<RequestRate> {
        *self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
