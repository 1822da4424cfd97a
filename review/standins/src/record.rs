//! The record of what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start, shared by all threads.
#[derive(Debug, Clone)]
pub struct Log {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Log {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
