//! The whole system from outside: real processes behind a fault-injecting proxy.

mod actions;
mod log_faults;
mod malformed;
mod shutdown;
mod silence;
mod support;
mod whole_path;
