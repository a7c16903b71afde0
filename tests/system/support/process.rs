//! Runs the project's binaries as child processes.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time for a process to become ready or to end.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks for the end of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Environment variable with the folder in which the output of ended processes is kept.
const LOGS_FOLDER: &str = "GALENAPICK_TEST_LOGS";

/// A daemon that runs as a child process. Dropping this value kills the process.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    /// Address of the daemon's HTTP interface.
    pub(crate) http: SocketAddr,
    /// Address on which the daemon accepts links.
    pub(crate) link: SocketAddr,
    settings: PathBuf,
    output: Arc<Mutex<Vec<u8>>>,
}

impl Process {
    /// Starts `galenapickd` with the given settings and waits for its ready line.
    pub(crate) fn start(name: &str, settings: &str) -> Self {
        let path = write_settings(name, settings);
        let mut child = Command::new(env!("CARGO_BIN_EXE_galenapickd"))
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let output = Arc::new(Mutex::new(Vec::new()));
        let stderr = child.stderr.take().expect("stderr");
        collect_output(stderr, Arc::clone(&output));
        let stdout = child.stdout.take().expect("stdout");
        let ready = read_ready(BufReader::new(stdout), Arc::clone(&output));
        let Some((http, link)) = ready else {
            let _ = child.kill();
            let _ = child.wait();
            let collected = output.lock().expect("output").clone();
            panic!(
                "{name} is not ready: {}",
                String::from_utf8_lossy(&collected)
            );
        };
        Self {
            child,
            http,
            link,
            settings: path,
            output,
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("the process is ours");
    }

    /// Kills the process immediately, as the loss of its VM would.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the process to end. Returns `None` after [`PROCESS_TIMEOUT`].
    pub(crate) fn wait(&mut self) -> Option<ExitStatus> {
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Returns the process id.
    pub(crate) fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }

    /// Writes the output to the folder that the tester asks for.
    fn keep_output(&self) {
        let (Some(folder), Some(name)) = (std::env::var_os(LOGS_FOLDER), self.settings.file_stem())
        else {
            return;
        };
        let path = PathBuf::from(folder).join(name).with_extension("log");
        if let Err(error) = std::fs::write(&path, self.output()) {
            eprintln!("{} cannot be written: {error}", path.display());
        }
    }

    /// Returns the output that the process has written so far.
    pub(crate) fn output(&self) -> String {
        let output = self.output.lock().expect("output");
        String::from_utf8_lossy(&output).into_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a stopped process.
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
        self.keep_output();
        if thread::panicking() {
            eprintln!("--- {}\n{}", self.settings.display(), tail(&self.output()));
        }
    }
}

/// Returns the last 60 lines of a text.
fn tail(text: &str) -> String {
    const LINES: usize = 60;
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LINES)..].join("\n")
}

/// Writes a settings file under a unique name, so that parallel tests do not share it.
fn write_settings(name: &str, settings: &str) -> PathBuf {
    let unique = format!(
        "galenapick-{}-{:016x}-{name}.ini",
        std::process::id(),
        fastrand::u64(..)
    );
    let path = std::env::temp_dir().join(unique);
    let mut file = std::fs::File::create_new(&path).expect("settings file");
    file.write_all(settings.as_bytes()).expect("settings file");
    path
}

/// Waits for the ready line and returns its addresses. A thread collects all lines.
fn read_ready(
    mut lines: BufReader<impl Read + Send + 'static>,
    output: Arc<Mutex<Vec<u8>>>,
) -> Option<(SocketAddr, SocketAddr)> {
    let (tx, rx) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let mut line = String::new();
        while lines.read_line(&mut line).is_ok_and(|len| len > 0) {
            if let Some(addresses) = parse_ready(&line) {
                let _ = tx.send(addresses);
            }
            output
                .lock()
                .expect("output")
                .extend_from_slice(line.as_bytes());
            line.clear();
        }
    });
    rx.recv_timeout(PROCESS_TIMEOUT).ok()
}

/// Parses `ready http=IP:port link=IP:port`.
fn parse_ready(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let fields = line.trim().strip_prefix("ready ")?;
    let mut http = None;
    let mut link = None;
    for field in fields.split_whitespace() {
        match field.split_once('=')? {
            ("http", address) => http = address.parse().ok(),
            ("link", address) => link = address.parse().ok(),
            _ => {}
        }
    }
    Some((http?, link?))
}

fn collect_output(mut source: impl Read + Send + 'static, output: Arc<Mutex<Vec<u8>>>) {
    thread::spawn(move || {
        let mut buf = [0; 4096];
        while let Ok(len) = source.read(&mut buf) {
            if len == 0 {
                return;
            }
            output
                .lock()
                .expect("output")
                .extend_from_slice(&buf[..len]);
        }
    });
}
