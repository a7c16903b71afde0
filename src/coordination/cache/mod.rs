//! Engine caches: estimates of their contents, decisions at tool pauses, and releases.

mod pause;
mod releases;
mod table;
#[cfg(test)]
mod tests;

pub use pause::{PauseAction, PausePolicy, ToolPause};
pub use releases::{CacheReleases, ReleaseConfig};
pub use table::{CacheTable, CacheTableConfig};
