use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::Error;
use crate::fleet::Process;
use crate::fleet::Programs;
use crate::fleet::free_address;
use crate::fleet::wait_until_ready;

/// Time within which a stand-in must print its address.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Prefix of the line in which a stand-in prints its address.
const ADDRESS_PREFIX: &str = "listening on ";
/// Interval between reads of a stand-in's output.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the processes of a fleet, with their settings and logs in one folder.
#[derive(Debug)]
pub struct Launcher {
    programs: Programs,
    folder: PathBuf,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    /// The process.
    pub process: Process,
    /// Its base URL.
    pub url: String,
}

/// A running entry daemon or runner process.
#[derive(Debug)]
pub struct Daemon {
    /// The process.
    pub process: Process,
    /// Address of its HTTP server.
    pub http_address: SocketAddr,
    /// Address on which it accepts links.
    pub link_address: SocketAddr,
}

impl Daemon {
    /// Returns the base URL of the HTTP server.
    pub fn url(&self) -> String {
        format!("http://{}", self.http_address)
    }

    /// Returns the sum of all metric samples whose line starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when the metrics cannot be fetched.
    pub async fn sum_metric(&self, prefix: &str) -> Result<f64, Error> {
        let text = reqwest::get(format!("{}/metrics", self.url())).await?.text().await?;
        let values = text.lines().filter(|l| l.starts_with(prefix));
        Ok(values.filter_map(|l| l.rsplit_once(' ')?.1.parse::<f64>().ok()).sum())
    }
}

impl Launcher {
    /// Creates an empty folder for settings and logs; the contents of an existing one are deleted.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be created.
    pub fn new(programs: Programs, folder: PathBuf) -> Result<Self, Error> {
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        std::fs::create_dir_all(&folder)?;
        Ok(Self { programs, folder })
    }

    /// Returns the built programs.
    pub const fn programs(&self) -> &Programs {
        &self.programs
    }

    /// Starts a stand-in of kind `engine`, `service` or `platform` and waits for its address.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start in time.
    pub fn start_standin(
        &self,
        name: &str,
        kind: &str,
        options: &[String],
    ) -> Result<Standin, Error> {
        let program = self.programs.path("kumquattiller-standins");
        let args: Vec<String> = [kind.to_owned()].into_iter().chain(options.to_vec()).collect();
        let process = Process::start(name, &program, &args, &self.folder)?;
        let log = self.folder.join(format!("{name}.log"));
        let started = Instant::now();
        while started.elapsed() < ADDRESS_TIMEOUT {
            let text = std::fs::read_to_string(&log)?;
            let line = text.split_inclusive('\n').find_map(|l| l.strip_prefix(ADDRESS_PREFIX));
            if let Some(address) = line.and_then(|l| l.strip_suffix('\n')) {
                return Ok(Standin { process, url: format!("http://{address}") });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(format!("stand-in {name} did not start, see {}", log.display()).into())
    }

    /// Starts an entry daemon in the region and availability zone `place` and waits until it is
    /// healthy.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start in time.
    pub async fn start_entry(
        &self,
        id: &str,
        place: (&str, &str),
        platform: &str,
    ) -> Result<Daemon, Error> {
        let (http_address, link_address) = (free_address(), free_address());
        let settings = json!({
            "id": id, "region": place.0, "zone": place.1, "http_address": http_address,
            "link_address": link_address, "platform_url": platform
        });
        let file = self.write_json(id, &settings)?;
        let args = ["serve".to_owned(), "--settings".to_owned(), file];
        let program = self.programs.path("kumquattiller");
        let process = Process::start(id, &program, &args, &self.folder)?;
        wait_until_ready(&format!("http://{http_address}/healthz")).await?;
        Ok(Daemon { process, http_address, link_address })
    }

    /// Starts a runner process for `backend` and waits until it is healthy.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start in time.
    pub async fn start_runner(
        &self,
        id: &str,
        zone: &str,
        backend: &Value,
        platform: &str,
    ) -> Result<Daemon, Error> {
        let (http_address, link_address) = (free_address(), free_address());
        let settings = json!({
            "id": id, "zone": zone, "link_address": link_address, "http_address": http_address,
            "backend": backend, "platform_url": platform
        });
        let file = self.write_json(id, &settings)?;
        let args = ["--settings".to_owned(), file];
        let program = self.programs.path("kumquattiller-runner");
        let process = Process::start(id, &program, &args, &self.folder)?;
        wait_until_ready(&format!("http://{http_address}/healthz")).await?;
        Ok(Daemon { process, http_address, link_address })
    }

    /// Writes `value` to `NAME.json` in the folder and returns the path of the file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write_json(&self, name: &str, value: &Value) -> Result<String, Error> {
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, serde_json::to_string_pretty(value)?)?;
        Ok(file.to_string_lossy().into_owned())
    }
}
