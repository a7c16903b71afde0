//! What was sent, answered and run, with times.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines of `record.txt`; clones share them.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:7} ms  {}", self.ms(), line.as_ref());
        self.lines.lock().expect("the record").push(line);
    }

    /// Writes all lines, and prints the last one.
    pub fn write(&self, file: &Path) {
        let lines = self.lines.lock().expect("the record");
        let mut text = String::new();
        for line in lines.iter() {
            let _ = writeln!(text, "{line}");
        }
        fs::write(file, text).expect("the record can be written");
        println!("{}", lines.last().map_or("", String::as_str));
    }
}
