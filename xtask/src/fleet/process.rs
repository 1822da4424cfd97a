use std::fs::File;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::Failure;

/// Longest wait for a process to end after it was asked to.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between looks at a process.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// A process that was started here; dropping it ends it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program with its output in `FOLDER/NAME.log`.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        folder: &Path,
    ) -> Result<Self, Failure> {
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

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks the process to stop.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn terminate(&self) -> Result<(), Failure> {
        let status = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status()?;
        if status.success() {
            return Ok(());
        }
        Err(format!("{} cannot be asked to stop", self.name).into())
    }

    /// Waits for the process to end by itself.
    ///
    /// # Errors
    ///
    /// Fails when it does not end in time, or not with exit code 0.
    pub fn wait(&mut self) -> Result<(), Failure> {
        let begin = Instant::now();
        while begin.elapsed() < STOP_TIMEOUT {
            if let Some(status) = self.child.try_wait()? {
                return self.judge(status);
            }
            std::thread::sleep(LOOK_PAUSE);
        }
        Err(format!("{} did not stop within {STOP_TIMEOUT:?}", self.name).into())
    }

    /// Ends the process and waits for it, whatever its exit code.
    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn judge(&self, status: ExitStatus) -> Result<(), Failure> {
        if status.success() {
            return Ok(());
        }
        Err(format!("{} ended with {status}", self.name).into())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}
