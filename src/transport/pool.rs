//! A pool with one link to each known node, which dials again after a failure.

use crate::transport::link::{Context, Exchange, Link, LinkError, Protocol, RequestHandler, dial};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Back-off after the first failed dial; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The link to one node and its dial state.
///
/// Invariant: no dial starts before `retry_at`; `failures` counts failed dials since the last
/// success.
struct Slot<P: Protocol> {
    address: String,
    link: Option<Link<P>>,
    failures: u32,
    retry_at: Option<Instant>,
    dial_lock: Arc<smol::lock::Mutex<()>>,
}

impl<P: Protocol> Slot<P> {
    fn new(address: &str) -> Self {
        Self {
            address: address.to_string(),
            link: None,
            failures: 0,
            retry_at: None,
            dial_lock: Arc::default(),
        }
    }

    fn record_success(&mut self, link: Link<P>) {
        self.link = Some(link);
        self.failures = 0;
        self.retry_at = None;
    }

    fn record_failure(&mut self, max_backoff: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(Instant::now() + backoff(self.failures, max_backoff));
    }
}

/// Links to other nodes by node name. Clones share the links.
pub(crate) struct LinkPool<P: Protocol, H> {
    context: Context<H>,
    slots: Arc<Mutex<HashMap<String, Slot<P>>>>,
}

impl<P: Protocol, H: Clone> Clone for LinkPool<P, H> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            slots: self.slots.clone(),
        }
    }
}

impl<P: Protocol, H: RequestHandler<P>> LinkPool<P, H> {
    /// Creates an empty pool.
    pub(crate) fn new(context: Context<H>) -> Self {
        Self {
            context,
            slots: Arc::default(),
        }
    }

    /// Sets the `IP:port` address of a node. A changed address closes the old link.
    pub(crate) fn set_address(&self, node: &str, address: &str) {
        let mut slots = self.slots();
        if slots.get(node).is_some_and(|slot| slot.address == address) {
            return;
        }
        let old = slots.insert(node.to_string(), Slot::new(address));
        if let Some(link) = old.and_then(|slot| slot.link) {
            link.close();
        }
    }

    /// Closes the link to a node if it has received nothing for `silence`, so that the next request
    /// dials again.
    pub(crate) fn close_silent(&self, node: &str, silence: Duration) {
        let link = self.open_link(node);
        if let Some(link) = link.filter(|link| link.silence() >= silence) {
            log::info!(target: "link", "link: no message from {node} within the silence limit; closing the link, the next request dials again");
            link.close();
        }
    }

    /// Removes a node and closes its link.
    pub(crate) fn remove(&self, node: &str) {
        let slot = self.slots().remove(node);
        if let Some(link) = slot.and_then(|slot| slot.link) {
            link.close();
        }
    }

    /// Returns the open link to a node; dials if there is none. Concurrent callers share one dial.
    pub(crate) async fn link(&self, node: &str) -> Result<Link<P>, LinkError> {
        if let Some(link) = self.open_link(node) {
            return Ok(link);
        }
        let dial_lock = self.slots().get(node).map(|slot| slot.dial_lock.clone());
        let dial_lock = dial_lock.ok_or_else(|| unknown_node(node))?;
        let _guard = dial_lock.lock().await;
        if let Some(link) = self.open_link(node) {
            return Ok(link);
        }
        let address = self.dial_address(node)?;
        match dial::<P, H>(&address, &self.context).await {
            Ok(link) => self.store_link(node, &address, link),
            Err(e) => {
                self.record_failure(node, &address);
                Err(LinkError::Unreachable(e.to_string()))
            }
        }
    }

    /// Sends a request to a node and returns the stream of its response.
    pub(crate) async fn open(
        &self,
        node: &str,
        request: P::Request,
    ) -> Result<Exchange<P>, LinkError> {
        self.link(node).await?.open(request)
    }

    /// Sends a request to a node and waits for its reply.
    pub(crate) async fn ask(&self, node: &str, request: P::Request) -> Result<P::Reply, LinkError> {
        self.link(node).await?.ask(request).await
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<String, Slot<P>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open_link(&self, node: &str) -> Option<Link<P>> {
        let slots = self.slots();
        let link = slots.get(node)?.link.as_ref()?;
        (!link.is_closed()).then(|| link.clone())
    }

    fn dial_address(&self, node: &str) -> Result<String, LinkError> {
        let slots = self.slots();
        let slot = slots.get(node).ok_or_else(|| unknown_node(node))?;
        match slot.retry_at {
            Some(at) if at > Instant::now() => {
                Err(LinkError::Unreachable(format!("{node} failed just now")))
            }
            _ => Ok(slot.address.clone()),
        }
    }

    fn store_link(&self, node: &str, address: &str, link: Link<P>) -> Result<Link<P>, LinkError> {
        let actual = link.remote().node.clone();
        if actual != node {
            link.close();
            self.record_failure(node, address);
            let reason = format!("{address} is {actual}, not {node}");
            return Err(LinkError::Unreachable(reason));
        }
        self.update(node, address, |slot| slot.record_success(link.clone()));
        Ok(link)
    }

    fn record_failure(&self, node: &str, address: &str) {
        let max_backoff = self.context.timing.max_redial_backoff;
        self.update(node, address, |slot| slot.record_failure(max_backoff));
    }

    /// Changes a node's slot if its address is still `address`.
    fn update(&self, node: &str, address: &str, change: impl FnOnce(&mut Slot<P>)) {
        let mut slots = self.slots();
        if let Some(slot) = slots.get_mut(node).filter(|slot| slot.address == address) {
            change(slot);
        }
    }
}

fn unknown_node(node: &str) -> LinkError {
    LinkError::Unreachable(format!("{node} is not known"))
}

/// Returns a jittered pause that doubles with each failure, up to `max_backoff`.
fn backoff(failures: u32, max_backoff: Duration) -> Duration {
    let doubled = MIN_BACKOFF * 2u32.pow(failures.clamp(1, 10) - 1);
    doubled
        .min(max_backoff)
        .mul_f64(0.5 + fastrand::f64() / 2.0)
}
