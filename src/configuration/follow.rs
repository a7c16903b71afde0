//! Reading the configuration stream and writing checkpoints to it.

use super::{Configurator, lock, unix_ms};
use crate::protocol::configuration::{CONFIGURATION_STREAM, ConfigurationRecord};
use crate::protocol::log::{Log, LogError, ReadLimit};
use smol::Timer;
use std::time::Duration;

/// Maximum size of one read.
const READ_MAX_BYTES: usize = 1 << 20;

impl<L: Log> Configurator<L> {
    /// Follows the stream until the future is dropped.
    pub(crate) async fn follow(self) {
        loop {
            self.follow_once().await;
            self.write_due_checkpoint().await;
        }
    }

    /// Reads one page and applies it.
    pub(super) async fn follow_once(&self) {
        let read = lock(&self.0.tail).next_read();
        if read.pause > Duration::ZERO {
            Timer::after(read.pause).await;
        }
        let limit = ReadLimit {
            max_bytes: READ_MAX_BYTES,
            wait: read.wait,
        };
        let page = self
            .0
            .log
            .read(CONFIGURATION_STREAM, read.from, limit)
            .await;
        let mut tail = lock(&self.0.tail);
        match page {
            Ok(page) => {
                tail.on_page(&page);
                self.0.cell.replace(tail.fold().current());
            }
            Err(error) => tail.on_error(&error),
        }
    }

    async fn write_due_checkpoint(&self) {
        let record = lock(&self.0.tail).checkpoint_if_due(unix_ms(), self.0.retention_ms);
        let Some(record) = record else {
            return;
        };
        if let Err(error) = self.append(&record).await {
            log::warn!(target: "configuration", "configuration: cannot append the checkpoint: {error}; it is written again when due");
        }
    }

    /// Appends a record to the stream.
    pub(super) async fn append(&self, record: &ConfigurationRecord) -> Result<u64, LogError> {
        let mut data = Vec::new();
        if let Err(error) = ciborium::into_writer(record, &mut data) {
            return Err(LogError::Unavailable(error.to_string()));
        }
        self.0.log.append(CONFIGURATION_STREAM, data).await
    }
}
