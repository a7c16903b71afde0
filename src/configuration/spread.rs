//! Propagation of the configuration to peers over links.

use super::{Configurator, lock};
use crate::coordination::configuration::PropagationAction;
use crate::coordination::rendezvous::rendezvous;
use crate::ids::{NodeId, Offset};
use crate::protocol::link::ConfigurationOffer;
use crate::protocol::log::Log;
use futures_lite::FutureExt;
use smol::Timer;
use std::future::Future;
use std::time::{Duration, Instant};

/// Time limit for one transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest interval between two checks for due transfers.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Access to the peers, which here are all other entries and sidecars, for configuration transfers.
pub(crate) trait Peers: Clone + Send + Sync + 'static {
    /// Returns the live entries, including this one.
    fn entries(&self) -> Vec<NodeId>;

    /// Offers the configuration to a node and returns the version that is then in force there; `None`
    /// on failure.
    fn offer(
        &self,
        node: &str,
        offer: ConfigurationOffer,
    ) -> impl Future<Output = Option<Offset>> + Send;

    /// Fetches the configuration of a node; `None` on failure.
    fn fetch(&self, node: &str) -> impl Future<Output = Option<ConfigurationOffer>> + Send;

    /// Runs a future to completion in the background.
    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static);
}

impl<L: Log> Configurator<L> {
    /// Records the version that a peer reports.
    pub(crate) fn record_peer_version(&self, node: &str, version: Offset) {
        if node != self.0.node {
            lock(&self.0.propagation).on_peer_version(node, version, Instant::now());
        }
    }

    /// Returns the highest version that a peer has reported; 0 if none has.
    pub(crate) fn newest_peer_version(&self) -> Offset {
        lock(&self.0.propagation).newest_peer_version()
    }

    /// Removes a peer that has left or failed.
    pub(crate) fn remove_peer(&self, node: &str) {
        lock(&self.0.propagation).on_peer_removed(node);
    }

    /// Propagates new versions to peers until the future is dropped.
    pub(crate) async fn propagate(self, peers: impl Peers) {
        let changed = self.0.cell.watch();
        loop {
            self.record_own_version(&peers);
            self.start_due_transfers(&peers);
            let next_check = async {
                Timer::after(CHECK_INTERVAL).await;
            };
            let change = async {
                let _ = changed.recv().await;
            };
            change.or(next_check).await;
        }
    }

    fn record_own_version(&self, peers: &impl Peers) {
        let entries = peers.entries();
        let rank = |node: &str| {
            let ranked = rendezvous(node, entries.iter().map(String::as_str));
            let position = ranked.iter().position(|entry| *entry == self.0.node);
            position.unwrap_or(0) as u32
        };
        let version = self.0.cell.version();
        lock(&self.0.propagation).on_version(version, Instant::now(), rank);
    }

    fn start_due_transfers(&self, peers: &impl Peers) {
        let due = lock(&self.0.propagation).take_due(Instant::now());
        for action in due {
            let configurator = self.clone();
            let transfer = transfer(configurator, peers.clone(), action);
            peers.spawn(transfer);
        }
    }
}

async fn transfer<L: Log>(
    configurator: Configurator<L>,
    peers: impl Peers,
    action: PropagationAction,
) {
    let timeout = async {
        Timer::after(TRANSFER_TIMEOUT).await;
        None
    };
    let (node, version) = match action {
        PropagationAction::Offer(node) => {
            let version = peers.offer(&node, configurator.offer()).or(timeout).await;
            (node, version)
        }
        PropagationAction::Fetch(node) => {
            let fetched = peers.fetch(&node);
            let adopted = async {
                fetched
                    .await
                    .map(|offer| adopt_fetched(&configurator, &offer))
            };
            let version = adopted.or(timeout).await;
            (node, version)
        }
    };
    lock(&configurator.0.propagation).on_transfer_done(&node, version, Instant::now());
}

/// Adopts a fetched configuration and returns the version of the node that sent it.
fn adopt_fetched<L: Log>(configurator: &Configurator<L>, offer: &ConfigurationOffer) -> Offset {
    configurator.adopt(offer);
    offer.image.version
}
