//! Keeps one link to each node that this one talks to, and dials again after a failure.

use crate::transport::link::{Context, Exchange, Link, LinkError, Serve, Wire, dial};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The first pause after a failed dial.
const BACKOFF_MIN: Duration = Duration::from_millis(50);

/// One node's link.
///
/// Invariant: nobody dials before `not_before`; `failures` counts dials since the last success.
struct Slot<W: Wire> {
    address: String,
    link: Option<Link<W>>,
    failures: u32,
    not_before: Option<Instant>,
    dialing: Arc<smol::lock::Mutex<()>>,
}

impl<W: Wire> Slot<W> {
    fn new(address: &str) -> Self {
        Self {
            address: address.to_string(),
            link: None,
            failures: 0,
            not_before: None,
            dialing: Arc::default(),
        }
    }

    fn succeed(&mut self, link: Link<W>) {
        self.link = Some(link);
        self.failures = 0;
        self.not_before = None;
    }

    fn fail(&mut self, longest: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.not_before = Some(Instant::now() + backoff(self.failures, longest));
    }
}

/// Links to other nodes by their names.
pub(crate) struct Pool<W: Wire, S> {
    context: Context<S>,
    slots: Arc<Mutex<HashMap<String, Slot<W>>>>,
}

impl<W: Wire, S: Clone> Clone for Pool<W, S> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            slots: self.slots.clone(),
        }
    }
}

impl<W: Wire, S: Serve<W>> Pool<W, S> {
    /// Makes an empty pool.
    pub(crate) fn new(context: Context<S>) -> Self {
        Self {
            context,
            slots: Arc::default(),
        }
    }

    /// Says where a node is; a changed address closes the old link.
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

    /// Closes a node's link if nothing has come on it for so long; the next request dials anew.
    pub(crate) fn close_silent(&self, node: &str, silence: Duration) {
        let link = self.live(node);
        if let Some(link) = link.filter(|link| link.silence() >= silence) {
            log::info!(target: "link", "link: silent to {node}, dialling anew");
            link.close();
        }
    }

    /// Forgets a node and closes its link.
    pub(crate) fn remove(&self, node: &str) {
        let slot = self.slots().remove(node);
        if let Some(link) = slot.and_then(|slot| slot.link) {
            link.close();
        }
    }

    /// Returns the live link to a node, dialling if there is none.
    pub(crate) async fn link(&self, node: &str) -> Result<Link<W>, LinkError> {
        if let Some(link) = self.live(node) {
            return Ok(link);
        }
        let dialing = self.slots().get(node).map(|slot| slot.dialing.clone());
        let dialing = dialing.ok_or_else(|| unknown(node))?;
        let _turn = dialing.lock().await;
        if let Some(link) = self.live(node) {
            return Ok(link);
        }
        let address = self.may_dial(node)?;
        match dial::<W, S>(&address, &self.context).await {
            Ok(link) => self.take_link(node, &address, link),
            Err(e) => {
                self.note_failure(node, &address);
                Err(LinkError::Unreachable(e.to_string()))
            }
        }
    }

    /// Sends a request to a node.
    pub(crate) async fn open(
        &self,
        node: &str,
        request: W::Request,
    ) -> Result<Exchange<W>, LinkError> {
        self.link(node).await?.open(request)
    }

    /// Sends a request to a node and waits for its reply.
    pub(crate) async fn ask(&self, node: &str, request: W::Request) -> Result<W::Reply, LinkError> {
        self.link(node).await?.ask(request).await
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<String, Slot<W>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn live(&self, node: &str) -> Option<Link<W>> {
        let slots = self.slots();
        let link = slots.get(node)?.link.as_ref()?;
        (!link.is_closed()).then(|| link.clone())
    }

    fn may_dial(&self, node: &str) -> Result<String, LinkError> {
        let slots = self.slots();
        let slot = slots.get(node).ok_or_else(|| unknown(node))?;
        match slot.not_before {
            Some(at) if at > Instant::now() => {
                Err(LinkError::Unreachable(format!("{node} failed just now")))
            }
            _ => Ok(slot.address.clone()),
        }
    }

    fn take_link(&self, node: &str, address: &str, link: Link<W>) -> Result<Link<W>, LinkError> {
        let found = link.remote().node.clone();
        if found != node {
            link.close();
            self.note_failure(node, address);
            let why = format!("{address} is {found}, not {node}");
            return Err(LinkError::Unreachable(why));
        }
        self.update(node, address, |slot| slot.succeed(link.clone()));
        Ok(link)
    }

    fn note_failure(&self, node: &str, address: &str) {
        let longest = self.context.timing.redial_max;
        self.update(node, address, |slot| slot.fail(longest));
    }

    /// Changes a slot unless its address has changed since.
    fn update(&self, node: &str, address: &str, change: impl FnOnce(&mut Slot<W>)) {
        let mut slots = self.slots();
        if let Some(slot) = slots.get_mut(node).filter(|slot| slot.address == address) {
            change(slot);
        }
    }
}

fn unknown(node: &str) -> LinkError {
    LinkError::Unreachable(format!("{node} is not known"))
}

/// Returns a jittered pause that doubles with each failure.
fn backoff(failures: u32, longest: Duration) -> Duration {
    let doubled = BACKOFF_MIN * 2u32.pow(failures.clamp(1, 10) - 1);
    doubled.min(longest).mul_f64(0.5 + fastrand::f64() / 2.0)
}
