//! Passing the configuration on over links.

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

/// Longest wait for the end of a transfer.
const TRANSFER_LIMIT: Duration = Duration::from_secs(2);

/// Longest time between two looks at what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// The other nodes, as the configuration needs them.
pub(crate) trait Peers: Clone + Send + Sync + 'static {
    /// Live entries, this one included.
    fn entries(&self) -> Vec<NodeId>;

    /// Offers the configuration to a node and returns the version that it runs then.
    fn offer(
        &self,
        node: &str,
        offer: ConfigurationOffer,
    ) -> impl Future<Output = Option<Offset>> + Send;

    /// Asks a node for its configuration.
    fn fetch(&self, node: &str) -> impl Future<Output = Option<ConfigurationOffer>> + Send;

    /// Runs a future to its end.
    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static);
}

impl<L: Log> Configurator<L> {
    /// Takes the version that a node says it runs.
    pub(crate) fn heard(&self, node: &str, version: Offset) {
        if node != self.0.node {
            lock(&self.0.spread).on_peer_version(node, version, Instant::now());
        }
    }

    /// Forgets a node that is no more.
    pub(crate) fn removed(&self, node: &str) {
        lock(&self.0.spread).on_peer_removed(node);
    }

    /// Passes versions on until it is dropped.
    pub(crate) async fn pass_on(self, peers: impl Peers) {
        let changed = self.0.cell.watch();
        loop {
            self.take_version(&peers);
            self.begin_transfers(&peers);
            let wake = async {
                Timer::after(LOOK_INTERVAL).await;
            };
            let change = async {
                let _ = changed.recv().await;
            };
            change.or(wake).await;
        }
    }

    fn take_version(&self, peers: &impl Peers) {
        let entries = peers.entries();
        let rank = |node: &str| {
            let ranked = rendezvous(node, entries.iter().map(String::as_str));
            let position = ranked.iter().position(|entry| *entry == self.0.node);
            position.unwrap_or(0) as u32
        };
        let version = self.0.cell.version();
        lock(&self.0.spread).on_version(version, Instant::now(), rank);
    }

    fn begin_transfers(&self, peers: &impl Peers) {
        let due = lock(&self.0.spread).take_due(Instant::now());
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
    let late = async {
        Timer::after(TRANSFER_LIMIT).await;
        None
    };
    let (node, version) = match action {
        PropagationAction::Offer(node) => {
            let version = peers.offer(&node, configurator.offer()).or(late).await;
            (node, version)
        }
        PropagationAction::Fetch(node) => {
            let fetched = peers.fetch(&node);
            let taken = async { fetched.await.map(|offer| take(&configurator, &offer)) };
            let version = taken.or(late).await;
            (node, version)
        }
    };
    lock(&configurator.0.spread).on_transfer_done(&node, version, Instant::now());
}

/// Takes a fetched configuration and returns the version of the node that sent it.
fn take<L: Log>(configurator: &Configurator<L>, offer: &ConfigurationOffer) -> Offset {
    configurator.adopt(offer);
    offer.image.version
}
