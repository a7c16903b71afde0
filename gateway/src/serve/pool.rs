//! Pool of idle connections to endpoints.

use crate::choice::endpoints::InstanceId;
use crate::serve::http::Connection;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Maximum idle time if the endpoint does not state a timeout; less than the shortest timeout that
/// it can state.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(700);

/// Margin before the stated timeout. A request sent later could cross the endpoint's close on the
/// network.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 8;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<InstanceId, Vec<IdleConnection>>>,
}

impl Pool {
    /// Removes and returns the most recently used connection that is still reusable.
    pub(crate) fn take(&self, now: Instant, id: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        connections.retain(|entry| entry.expires_at > now);
        while let Some(entry) = connections.pop() {
            if entry.connection.is_reusable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Adds a connection; if the endpoint has too many, the oldest one is closed.
    pub(crate) fn put(
        &self,
        now: Instant,
        id: &InstanceId,
        connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        let idle_for = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |limit| {
            limit.saturating_sub(IDLE_MARGIN)
        });
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_ENDPOINT {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            expires_at: now + idle_for,
        });
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn close(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes connections whose idle time has expired.
    pub(crate) fn close_expired(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|entry| entry.expires_at > now);
            !connections.is_empty()
        });
    }
}
