//! Idle connections to endpoints.

use crate::endpoints::InstanceId;
use crate::http::Wire;
use rustix::net::{RecvFlags, recv};
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Idle time allowed where the endpoint does not say how long it keeps connections: less than
/// the shortest time that it could have stated.
const UNSTATED_IDLE: Duration = Duration::from_millis(700);

/// Margin before the stated end: a request sent later could cross the endpoint's close.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Idle connections kept to one endpoint.
const MAX_IDLE: usize = 8;

#[derive(Debug)]
struct Idle {
    wire: Wire,
    until: Instant,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<InstanceId, Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection that was used last and still stands.
    pub(crate) fn take(&self, now: Instant, id: &str) -> Option<Wire> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        connections.retain(|connection| connection.until > now);
        while let Some(connection) = connections.pop() {
            if is_quiet(&connection.wire) {
                return Some(connection.wire);
            }
        }
        None
    }

    /// Keeps a connection for later.
    pub(crate) fn put(
        &self,
        now: Instant,
        id: &InstanceId,
        wire: Wire,
        idle_limit: Option<Duration>,
    ) {
        let idle_for = idle_limit.map_or(UNSTATED_IDLE, |limit| limit.saturating_sub(IDLE_MARGIN));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.clone()).or_default();
        if connections.len() >= MAX_IDLE {
            connections.remove(0);
        }
        connections.push(Idle {
            wire,
            until: now + idle_for,
        });
    }

    /// Closes the connections to an endpoint.
    pub(crate) fn close(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes connections whose time is over.
    pub(crate) fn sweep(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.until > now);
            !connections.is_empty()
        });
    }
}

/// Tells whether a connection is open and nothing came on it: bytes that nobody asked for, or an
/// end, make it useless.
fn is_quiet(wire: &Wire) -> bool {
    let mut byte = [0_u8; 1];
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    let seen = recv(wire.stream(), &mut byte[..], flags);
    matches!(seen, Err(error) if error == rustix::io::Errno::WOULDBLOCK) && wire.unread().is_empty()
}
