//! Exhaustive model checking of small specifications that drive the real folds and state machines.
//!
//! Each specification models a log, two nodes that can own a partition, and their surroundings.
//! The search visits every interleaving. A paused node takes no step. A delayed append reaches the
//! log at any later step or never. After a lost answer the record is in the log, and a resend
//! writes it twice. Invariants carry the names of the guarantees in the product's requirements.

mod actions;
mod search;
mod stream;
mod turns;
