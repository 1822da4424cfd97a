use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::Failure;
use crate::fleet::Process;
use crate::fleet::Programs;
use crate::fleet::free_address;
use crate::fleet::wait_until_ready;

/// Longest wait for a stand-in to tell its address.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Start of the line with a stand-in's address.
const ADDRESS_PREFIX: &str = "listening on ";
/// Pause between looks at a stand-in's output.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Starts processes of a fleet in one folder.
#[derive(Debug)]
pub struct Starter {
    programs: Programs,
    folder: PathBuf,
}

/// A stand-in with its base URL.
#[derive(Debug)]
pub struct Standin {
    /// The process.
    pub process: Process,
    /// Its base URL.
    pub url: String,
}

/// One of the two programs with its addresses.
#[derive(Debug)]
pub struct Member {
    /// The process.
    pub process: Process,
    /// Where it serves HTTP.
    pub http: SocketAddr,
    /// Where it listens for links.
    pub link: SocketAddr,
}

impl Member {
    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.http)
    }

    /// Returns the value of a metric, summed over its labels.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub async fn metric(&self, name: &str) -> Result<f64, Failure> {
        let text = reqwest::get(format!("{}/metrics", self.url())).await?.text().await?;
        let values = text.lines().filter(|l| l.starts_with(name));
        Ok(values.filter_map(|l| l.rsplit_once(' ')?.1.parse::<f64>().ok()).sum())
    }
}

impl Starter {
    /// Prepares an empty folder for settings and logs.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be made.
    pub fn new(programs: Programs, folder: PathBuf) -> Result<Self, Failure> {
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        std::fs::create_dir_all(&folder)?;
        Ok(Self { programs, folder })
    }

    /// Returns the programs.
    pub const fn programs(&self) -> &Programs {
        &self.programs
    }

    /// Starts a stand-in: `engine`, `service` or `platform`, with options.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn standin(&self, name: &str, kind: &str, options: &[String]) -> Result<Standin, Failure> {
        let program = self.programs.path("kumquattiller-standins");
        let args: Vec<String> = [kind.to_owned()].into_iter().chain(options.to_vec()).collect();
        let process = Process::start(name, &program, &args, &self.folder)?;
        let log = self.folder.join(format!("{name}.log"));
        let begin = Instant::now();
        while begin.elapsed() < ADDRESS_TIMEOUT {
            let text = std::fs::read_to_string(&log)?;
            let line = text.split_inclusive('\n').find_map(|l| l.strip_prefix(ADDRESS_PREFIX));
            if let Some(address) = line.and_then(|l| l.strip_suffix('\n')) {
                return Ok(Standin { process, url: format!("http://{address}") });
            }
            std::thread::sleep(LOOK_PAUSE);
        }
        Err(format!("stand-in {name} did not start, see {}", log.display()).into())
    }

    /// Starts an entry daemon.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub async fn entry(
        &self,
        id: &str,
        place: (&str, &str),
        platform: &str,
    ) -> Result<Member, Failure> {
        let (http, link) = (free_address(), free_address());
        let settings = json!({
            "id": id, "region": place.0, "zone": place.1, "http_address": http,
            "link_address": link, "platform_url": platform
        });
        let file = self.write(id, &settings)?;
        let args = ["serve".to_owned(), "--settings".to_owned(), file];
        let program = self.programs.path("kumquattiller");
        let process = Process::start(id, &program, &args, &self.folder)?;
        wait_until_ready(&format!("http://{http}/healthz")).await?;
        Ok(Member { process, http, link })
    }

    /// Starts a runner process.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub async fn runner(
        &self,
        id: &str,
        zone: &str,
        backend: &Value,
        platform: &str,
    ) -> Result<Member, Failure> {
        let (http, link) = (free_address(), free_address());
        let settings = json!({
            "id": id, "zone": zone, "link_address": link, "http_address": http,
            "backend": backend, "platform_url": platform
        });
        let file = self.write(id, &settings)?;
        let args = ["--settings".to_owned(), file];
        let program = self.programs.path("kumquattiller-runner");
        let process = Process::start(id, &program, &args, &self.folder)?;
        wait_until_ready(&format!("http://{http}/healthz")).await?;
        Ok(Member { process, http, link })
    }

    /// Writes a JSON file and returns its path.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, name: &str, value: &Value) -> Result<String, Failure> {
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, serde_json::to_string_pretty(value)?)?;
        Ok(file.to_string_lossy().into_owned())
    }
}
