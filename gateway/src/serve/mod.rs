//! Requests of clients, one at a time: sockets, forwarding to endpoints, answers.

mod admit;
pub(crate) mod call;
pub(crate) mod event_stream;
pub(crate) mod forward;
pub(crate) mod front;
pub(crate) mod http;
pub(crate) mod pool;
pub(crate) mod readiness;
pub(crate) mod reply;
pub(crate) mod scarcity;
pub(crate) mod shutdown;
pub(crate) mod stream;
pub(crate) mod turn_call;
