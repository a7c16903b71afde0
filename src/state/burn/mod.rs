//! Error-budget burn: counts and histograms by client account and minute, and burn rates over
//! windows.

mod cell;
mod rates;
mod report;
mod table;
#[cfg(test)]
mod tests;

pub use rates::{Alert, BurnWindow, Measure};
pub(crate) use report::report_environment;
pub use report::{BurnLine, BurnReport, WindowCount};
pub use table::{BurnTable, ProgramSample, TokenSample};
