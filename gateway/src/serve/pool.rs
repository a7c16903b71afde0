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

/// Number of refused requests after which a connection is closed, which bounds the ids kept with it.
const MAX_REFUSED_PER_CONNECTION: usize = 64;

/// An open connection to an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointConnection {
    pub(crate) connection: Connection,
    /// Ids of the requests that were refused on it. It carries no further request with one of them:
    /// if the refusal were written again, it would seem to answer that request.
    pub(crate) refused_ids: Vec<String>,
}

impl EndpointConnection {
    /// Wraps a connection that has carried no request.
    pub(crate) fn new(connection: Connection) -> Self {
        Self {
            connection,
            refused_ids: Vec::new(),
        }
    }

    fn takes(&self, request_id: &str) -> bool {
        self.refused_ids.iter().all(|id| id != request_id)
    }
}

#[derive(Debug)]
struct IdleConnection {
    open: EndpointConnection,
    expires_at: Instant,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<InstanceId, Vec<IdleConnection>>>,
}

impl Pool {
    /// Removes and returns the most recently used connection that is still reusable and takes the
    /// request.
    pub(crate) fn take(
        &self,
        now: Instant,
        id: &str,
        request_id: &str,
    ) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        connections.retain(|entry| entry.expires_at > now);
        let takes = |entry: &IdleConnection| entry.open.takes(request_id);
        while let Some(index) = connections.iter().rposition(takes) {
            let open = connections.remove(index).open;
            if open.connection.is_reusable() {
                return Some(open);
            }
        }
        None
    }

    /// Adds a connection, unless too many requests were refused on it; if the endpoint has too many,
    /// the oldest one is closed.
    pub(crate) fn put(
        &self,
        now: Instant,
        id: &InstanceId,
        open: EndpointConnection,
        idle_timeout: Option<Duration>,
    ) {
        if open.refused_ids.len() >= MAX_REFUSED_PER_CONNECTION {
            return;
        }
        let idle_for = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |limit| {
            limit.saturating_sub(IDLE_MARGIN)
        });
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_ENDPOINT {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            open,
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
