//! Exhaustive search of a small specification that drives the real folds and machines.
//!
//! The specification holds a log, two nodes that may own a partition, and what surrounds them.
//! Every interleaving is visited: a pause is a node that takes no step, a delayed append lands at
//! any later step or never, a lost answer leaves the record in the log, a resend writes it twice.
//! Invariants carry the names of the promises in the product's requirements.

mod actions;
mod search;
mod stream;
mod turns;
