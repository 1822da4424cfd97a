use std::fs::File;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::Error;

/// Time within which a process must exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program and writes its output to `NAME.log` in `folder`.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be created or the program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        folder: &Path,
    ) -> Result<Self, Error> {
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Returns the name that the process was started with.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM to the process.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn terminate(&self) -> Result<(), Error> {
        let status = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status()?;
        if status.success() {
            return Ok(());
        }
        Err(format!("cannot send SIGTERM to {}", self.name).into())
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Fails when the process does not exit in time or exits with a code other than 0.
    pub fn wait(&mut self) -> Result<(), Error> {
        let started = Instant::now();
        while started.elapsed() < STOP_TIMEOUT {
            if let Some(status) = self.child.try_wait()? {
                return self.check_exit_status(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(format!("{} did not stop within {STOP_TIMEOUT:?}", self.name).into())
    }

    /// Kills the process and waits for it to exit; its exit status is ignored.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn check_exit_status(&self, status: ExitStatus) -> Result<(), Error> {
        if status.success() {
            return Ok(());
        }
        Err(format!("{} exited with {status}", self.name).into())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
