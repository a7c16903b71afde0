//! What engines hold in their caches: estimates, decisions at tool pauses, and releases.

mod pause;
mod releases;
mod table;
#[cfg(test)]
mod tests;

pub use pause::{Pause, PauseAction, PauseRule};
pub use releases::{ReleaseConfig, Releases};
pub use table::{CacheTable, CacheTableConfig};
