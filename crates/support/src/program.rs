//! One of the programs as a process.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use tokio::process::Child;
use tokio::time::timeout;

/// A running program; it is killed when dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
    log: PathBuf,
}

impl Program {
    /// Starts a program with arguments; its log goes to `log`.
    ///
    /// # Panics
    ///
    /// Panics when it cannot be started.
    pub fn start(binary: &Path, args: &[&str], log: &Path) -> Self {
        let file = File::options().create(true).append(true).open(log).expect("log can be written");
        let out = file.try_clone().expect("log can be written");
        let child = tokio::process::Command::new(binary)
            .args(args)
            .env("RUST_LOG", "info,kumquattiller_entry=debug,kumquattiller_runner=debug")
            .stdin(Stdio::null())
            .stdout(Stdio::from(out))
            .stderr(Stdio::from(file))
            .kill_on_drop(true)
            .spawn()
            .expect("program can be started");
        Self { child, log: log.to_owned() }
    }

    /// Returns the process id.
    ///
    /// # Panics
    ///
    /// Panics when the process has ended.
    pub fn id(&self) -> u32 {
        self.child.id().expect("process runs")
    }

    /// Ends the process at once (SIGKILL).
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be ended.
    pub async fn kill(&mut self) {
        self.child.kill().await.expect("process can be killed");
    }

    /// Asks the process to stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Tells the process that its settings changed (SIGHUP).
    pub fn reload(&self) {
        self.signal("HUP");
    }

    /// Tells whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Freezes the process (SIGSTOP).
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Lets a frozen process go on (SIGCONT).
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Waits for the end of the process and returns its exit code.
    ///
    /// # Panics
    ///
    /// Panics when it does not end within `limit`.
    pub async fn exit_code(&mut self, limit: Duration) -> Option<i32> {
        let ended = timeout(limit, self.child.wait()).await;
        let status = ended.unwrap_or_else(|_| panic!("process did not end:\n{}", self.log()));
        status.expect("process can be waited for").code()
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, name: &str) {
        let Some(id) = self.child.id() else {
            return;
        };
        let status = Command::new("kill").args(["-s", name, &id.to_string()]).status();
        assert!(status.is_ok_and(|s| s.success()), "signal {name} can be sent");
    }
}
