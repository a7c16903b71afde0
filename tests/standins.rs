//! Stand-ins as separate processes, controlled over HTTP.

use futures_lite::future::block_on;
use galenapick::protocol::log::{Log, LogError};
use galenapick::protocol::service::{Service, ServiceError, ServiceRequest};
use galenapick::standin::{
    LogControl, LogCounts, Outage, RemoteStandin, ServiceControl, ServiceCounts,
};
use galenapick::{HttpLog, HttpService};
use googletest::prelude::*;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum wait for a request or an outage.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A stand-in process. Dropping this value kills the process.
struct Process {
    child: Child,
    url: String,
}

impl Process {
    fn start(kind: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_galenapick"))
            .args(["standin", kind, "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let url = lines.next().unwrap().unwrap();
        Self { child, url }
    }

    fn remote(&self) -> RemoteStandin {
        RemoteStandin::new(&self.url, TIMEOUT)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[gtest]
fn a_log_refuses_during_an_outage_and_recovers() {
    let process = Process::start("log");
    block_on(async {
        let log = HttpLog::new(&process.url, TIMEOUT);
        expect_that!(log.append("s", vec![1]).await, ok(eq(&1)));
        let outage = LogControl {
            outage: Some(Outage::Refuse),
            outage_ms: Some(1000),
            ..LogControl::default()
        };
        // The outage closes the connection of the request that started it.
        let _ = process.remote().control(&outage).await;
        let refused = log.append("s", vec![2]).await;
        expect_that!(refused, err(matches_pattern!(LogError::Unavailable(_))));
        let started = Instant::now();
        while log.append("s", vec![3]).await.is_err() {
            assert!(started.elapsed() < TIMEOUT, "the log did not recover");
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        let counts: LogCounts = process.remote().counts().await.unwrap();
        expect_that!(counts.appends, eq(2));
    });
}

#[gtest]
fn a_service_loses_an_answer_after_the_action_ran() {
    let process = Process::start("service");
    block_on(async {
        let control = ServiceControl {
            lose_answers: Some(1),
            ..ServiceControl::default()
        };
        process.remote().control(&control).await.unwrap();
        let service = HttpService::new(&process.url, TIMEOUT);
        let request = ServiceRequest {
            operation: "charge".to_owned(),
            call: 1,
            body: "{}".to_owned(),
        };
        let reply = service.invoke(request).await;
        expect_that!(reply, err(matches_pattern!(ServiceError::Unknown(_))));
        let counts: ServiceCounts = process.remote().counts().await.unwrap();
        expect_that!(
            (counts.requests, counts.actions, counts.lost_answers),
            eq((1, 1, 1))
        );
        expect_that!(
            process.remote().counts::<LogCounts>().await,
            err(anything())
        );
        let misspelled = serde_json::json!({"loose_answers": 1});
        expect_that!(process.remote().control(&misspelled).await, err(anything()));
    });
}
