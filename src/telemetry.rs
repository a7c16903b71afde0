//! Metrics of the process in the Prometheus text format, for `/metrics`.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// Upper bounds of the histogram buckets.
const TIME_BUCKETS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 20_000.0,
    60_000.0,
];

/// The recorder of this process.
static RECORDER: OnceLock<Telemetry> = OnceLock::new();

/// Renders the metrics of this process.
#[derive(Clone, Debug)]
pub(crate) struct Telemetry {
    handle: PrometheusHandle,
}

impl Telemetry {
    /// Returns the handle of the recorder; the first call of the process installs the recorder.
    pub(crate) fn start() -> Self {
        RECORDER.get_or_init(install).clone()
    }

    /// Renders all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}

/// Installs a recorder. If another one is already installed, the returned handle renders no metrics.
fn install() -> Telemetry {
    let builder = PrometheusBuilder::new();
    let builder = builder.set_buckets(&TIME_BUCKETS_MS).unwrap_or_default();
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!(target: "telemetry", "telemetry: another metrics recorder is already installed; /metrics stays empty");
    }
    Telemetry { handle }
}
