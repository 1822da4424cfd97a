//! A program under test, run as a process.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use tokio::process::Child;
use tokio::time::timeout;

/// A running program, which is killed when dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
    log_path: PathBuf,
}

impl Program {
    /// Starts a program with arguments and appends its output to `log`.
    ///
    /// # Panics
    ///
    /// Panics when the program cannot be started.
    pub fn start(binary: &Path, args: &[&str], log: &Path) -> Self {
        let stderr_file =
            File::options().create(true).append(true).open(log).expect("log can be written");
        let stdout_file = stderr_file.try_clone().expect("log can be written");
        let child = tokio::process::Command::new(binary)
            .args(args)
            .env("RUST_LOG", "info,kumquattiller_entry=debug,kumquattiller_runner=debug")
            .stdin(Stdio::null())
            .stdout(Stdio::from(stdout_file))
            .stderr(Stdio::from(stderr_file))
            .kill_on_drop(true)
            .spawn()
            .expect("program can be started");
        Self { child, log_path: log.to_owned() }
    }

    /// Returns the process id.
    ///
    /// # Panics
    ///
    /// Panics when the process has ended.
    pub fn id(&self) -> u32 {
        self.child.id().expect("process runs")
    }

    /// Kills the process (SIGKILL).
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be killed.
    pub async fn kill(&mut self) {
        self.child.kill().await.expect("process can be killed");
    }

    /// Asks the process to stop (SIGTERM).
    pub fn terminate(&self) {
        self.send_signal("TERM");
    }

    /// Asks the process to reload its settings (SIGHUP).
    pub fn reload(&self) {
        self.send_signal("HUP");
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&self) {
        self.send_signal("STOP");
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn thaw(&self) {
        self.send_signal("CONT");
    }

    /// Waits for the process to exit and returns its exit code, or `None` when a signal ended it.
    ///
    /// # Panics
    ///
    /// Panics when the process does not exit within `limit`.
    pub async fn exit_code(&mut self, limit: Duration) -> Option<i32> {
        let ended = timeout(limit, self.child.wait()).await;
        let status = ended.unwrap_or_else(|_| panic!("process did not end:\n{}", self.log()));
        status.expect("process can be waited for").code()
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    fn send_signal(&self, name: &str) {
        let Some(id) = self.child.id() else {
            return;
        };
        let status = Command::new("kill").args(["-s", name, &id.to_string()]).status();
        assert!(status.is_ok_and(|s| s.success()), "signal {name} can be sent");
    }
}
