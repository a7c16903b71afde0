//! Black-box tests of the whole system: real processes behind a fault-injecting proxy.

mod actions;
mod budgets;
mod crashes;
mod hangs;
mod log_faults;
mod malformed;
mod shutdown;
mod silence;
mod support;
mod whole_path;
