//! The whole system from outside.

mod malformed;
