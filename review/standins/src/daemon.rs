//! A daemon of the project, started with the command of the deploy file.

use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::client;

/// Command of the deploy file, relative to the root of the repository.
const PROGRAM: &str = "target/release/kumquattiller-platform";

/// Settings of a daemon in a small deployment.
pub struct Settings {
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// The store, or a proxy before it.
    pub store: SocketAddr,
    /// Memory of its machine, in MB.
    pub memory_mb: u64,
}

/// A process, killed on drop.
pub struct Daemon {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    /// Address for clients.
    pub frontend: SocketAddr,
    ready: SocketAddr,
}

impl Daemon {
    /// Starts a daemon. `folder` is a temporary folder for its settings and its log.
    pub fn start(folder: &std::path::Path, settings: &Settings) -> io::Result<Self> {
        let file = folder.join(format!("{}.toml", settings.name));
        std::fs::write(&file, settings.text())?;
        let log = folder.join(format!("{}.log", settings.name));
        let frontend = SocketAddr::from((settings.ip, 8_227));
        let ready = SocketAddr::from((settings.ip, 8_220));
        let child = spawn(&file, &log)?;
        Ok(Self { child, settings: file, log, frontend, ready })
    }

    /// Waits until the daemon is ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if client::get_status(self.ready, "/kumquattiller/readyz") == Some(200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the daemon did not become ready"))
    }

    /// Returns the address of the readiness check.
    pub const fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started by this program and has not been waited for.
        unsafe { libc::kill(self.child.id() as i32, signal) };
    }

    /// Kills the process and starts it again.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &std::path::Path, log: &std::path::Path) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    let kept = ["PATH", "HOME", "LANG"].map(|name| (name, std::env::var_os(name)));
    Command::new(PROGRAM)
        .arg("serve")
        .env_clear()
        .envs(kept.into_iter().filter_map(|(name, value)| Some((name, value?))))
        .env("KUMQUATTILLER_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
}

impl Settings {
    fn text(&self) -> String {
        let Self { name, ip, zone, store, memory_mb } = self;
        format!(
            r#"nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "r"
portRange = [7340, 7355]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
a = "r"
b = "r"
[listen]
frontend = "{ip}:8227"
ready = "{ip}:8220"
[limits]
cpuShare = 0.5
cores = 1
memoryMb = {memory_mb}
maxFds = 8192
linkMbps = 200.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 4000
ackMs = 6000
catchUpS = 6
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 6000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 122
recoveryS = 15
iterationMs = 200
retryAfterS = 0
stall_ms = 1500
holdMaxMs = 20000
retentionMs = 4000
idleMaxMs = 9000
[platform]
address = "{store}"
form = "objects"
writesPerS = 1200
readsPerS = 6000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#
        )
    }
}
