//! Gateways as separate processes, with the command of the deploy file.

use std::env;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Numbers of the signals that stop and continue a process.
const STOP: i32 = 19;
const CONTINUE: i32 = 18;

/// Longest time until a gateway is ready.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// A gateway, running or not. It ends with this value.
pub struct Gateway {
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Gateway {
    /// Writes the settings of a gateway, which does not run yet.
    pub fn new(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let (front, ready, peers) = (free_port(), free_port(), free_port());
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"NodeName":"{name}","Role":"gateway","MachineClass":"edge","Serves":["edge"],
"Ip":"127.0.0.1","Zone":"{zone}","Region":"pnw","Zones":{{"pnw-a":"pnw","pnw-b":"pnw","pnw-c":"pnw"}},
"ListenAddrs":{{"Front":"127.0.0.1:{front}","Ready":"127.0.0.1:{ready}"}},"PortRange":[{peers},{peers}],
"Seeds":[],"FirstStart":true,"LossCounts":false,
"Limits":{{"CpuShare":0.5,"Cores":1,"MemoryMb":{MEMORY_MB},"MaxFds":8200,"LinkMbps":1000.0,"DiskMb":0}},
"DataDir":null,"Discovery":"platform","Entry":"virtual_ip","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","recover","agent","stream","engine","platform"],
"Bounds":{{"DrainMs":2000,"GraceS":8,"ConfigApplyMs":2000,"RecoverS":12,"SettleMs":1000,"StableWindowMs":3000}},
"Platform":{{"Address":"{store}","form":"log","WritesPerS":800,"ReadsPerS":2000,"parts":16,"AppendMs":3.0,
"RecordBytes":262144,"CallBytes":2097152,"RetentionS":300,"PartMb":200,"TtlMinMs":1000}}}}"#
        );
        fs::write(&settings, text).expect("the settings can be written");
        Self {
            front: SocketAddr::from(([127, 0, 0, 1], front)),
            ready: SocketAddr::from(([127, 0, 0, 1], ready)),
            log: folder.join(format!("{name}.log")),
            settings,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let child = Command::new("target/release/galenapick-gatewayd")
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env("GALENAPICK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the gateway can be started; build it first"));
    }

    /// Waits until the gateway says that it is ready; false if it does not.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + READY_WITHIN;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let request = b"GET /-/readiness HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n";
        let mut line = String::new();
        stream.write_all(request).is_ok()
            && BufReader::new(stream).read_line(&mut line).is_ok()
            && line.contains(" 200 ")
    }

    /// Returns the end of its log.
    pub fn log_end(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(5)..].join("\n")
    }

    /// Makes the process stand still.
    pub fn freeze(&self) {
        self.signal(STOP);
    }

    /// Lets it run again.
    pub fn resume(&self) {
        self.signal(CONTINUE);
    }

    fn signal(&self, signal: i32) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        if let Some(child) = &self.child {
            // SAFETY: the child has not been waited for, so that its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Ends the process as a loss of power would.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that it has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Memory of the machine of a gateway, in megabytes.
pub const MEMORY_MB: u64 = 130;

/// Ports of one test, which holds the first one as long as it runs, so that no other test takes them.
struct PortBlock {
    _held: TcpListener,
    next: AtomicU16,
}

impl PortBlock {
    /// First port of all blocks; they end below the ports of outgoing connections.
    const FIRST: u16 = 12_000;

    /// Ports in a block.
    const PORTS: u16 = 200;

    const BLOCKS: u16 = 90;

    fn take() -> Self {
        let first_choice = (process::id() % u32::from(Self::BLOCKS)) as u16;
        let mut blocks = (0..Self::BLOCKS).map(|offset| (first_choice + offset) % Self::BLOCKS);
        let taken = blocks.find_map(|block| {
            let first = Self::FIRST + block * Self::PORTS;
            let held = TcpListener::bind(("127.0.0.1", first)).ok()?;
            Some((held, first))
        });
        let (held, first) = taken.expect("a block of ports that no other test has");
        Self {
            _held: held,
            next: AtomicU16::new(first + 1),
        }
    }
}

/// Returns a free port of this test.
fn free_port() -> u16 {
    static BLOCK: LazyLock<PortBlock> = LazyLock::new(PortBlock::take);
    loop {
        let port = BLOCK.next.fetch_add(1, Ordering::SeqCst);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
