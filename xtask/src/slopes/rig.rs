use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use kumquattiller_inventory::Configuration;
use serde_json::json;
use tokio::time::sleep;

use crate::Failure;
use crate::Outcome;
use crate::fleet::Member;
use crate::fleet::Programs;
use crate::fleet::Standin;
use crate::fleet::Starter;
use crate::fleet::wait_until_ready;
use crate::root;
use crate::slopes::sample;
use crate::slopes::usage;

/// Folder of settings and logs, from the root of the repository.
const FOLDER: &str = "target/slopes";
/// Longest wait for all links.
const LINKS_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between looks at the links.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a fleet settles before it is measured.
const SETTLE: Duration = Duration::from_secs(5);
/// Availability zone of all processes.
const ZONE: &str = "zone-0";
/// Model of the rig.
pub const MODEL: &str = "name-0";
/// Credential of the rig's first client account.
pub const CREDENTIAL: &str = "00000000000000000000000000000000";

/// The size of a fleet that is measured.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Entry daemons.
    pub entries: usize,
    /// Runner processes.
    pub runners: usize,
    /// Model engines; runners share them in turn.
    pub engines: usize,
    /// Client accounts.
    pub accounts: usize,
}

/// A fleet that is measured; dropping it ends its processes.
#[derive(Debug)]
pub struct Rig {
    /// Entry daemons.
    pub entries: Vec<Member>,
    /// Runner processes.
    pub runners: Vec<Member>,
    /// Model engines.
    pub engines: Vec<Standin>,
    /// The platform.
    pub platform: Standin,
}

/// What a process used over a time.
#[derive(Debug, Clone, Copy)]
pub struct Used {
    /// Share of a core.
    pub cores: f64,
    /// Resident memory at the end, in bytes.
    pub resident: f64,
}

impl Rig {
    /// Starts a fleet and waits until it serves.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or not all links open.
    pub async fn start(
        programs: &Programs,
        size: Size,
        engine: &[String],
    ) -> Result<Self, Failure> {
        let starter = Starter::new(programs.clone(), root().join(FOLDER))?;
        let platform = starter.standin("platform", "platform", &[])?;
        let mut engines = Vec::new();
        for index in 0..size.engines {
            engines.push(starter.standin(&format!("engine-{index}"), "engine", engine)?);
        }
        let mut configuration = sample::configuration(size.runners, size.accounts)?;
        configuration.register.services.truncate(1);
        let mut rig = Self { entries: vec![], runners: vec![], engines, platform };
        for index in 0..size.runners {
            rig.add_runner(&starter, &mut configuration, index).await?;
        }
        apply(&starter, &rig.platform.url, &configuration)?;
        for index in 0..size.entries {
            let id = format!("entry-{index}");
            let platform = &rig.platform.url;
            let member = starter.entry(&id, ("region-0", ZONE), platform).await?;
            announce(platform, &id, &member).await?;
            rig.entries.push(member);
        }
        rig.wait_for_links().await?;
        sleep(SETTLE).await;
        Ok(rig)
    }

    /// Returns the reads that the platform has counted.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn store_reads(&self) -> Result<f64, Failure> {
        let calls: serde_json::Value =
            reqwest::get(format!("{}/admin/calls", self.platform.url)).await?.json().await?;
        calls["reads"].as_f64().ok_or_else(|| "calls without reads".into())
    }

    /// Starts a runner process and puts it in the register, all for the first model.
    async fn add_runner(
        &mut self,
        starter: &Starter,
        configuration: &mut Configuration,
        index: usize,
    ) -> Outcome {
        let line = &mut configuration.register.runners[index];
        line.service = "model-0".parse()?;
        line.zone = ZONE.parse()?;
        let url = &self.engines[index % self.engines.len()].url;
        let backend = json!({"kind": "model", "url": url, "memory": 450_000});
        let zone = line.zone.to_string();
        let member = starter.runner(line.id.as_str(), &zone, &backend, &self.platform.url).await?;
        line.address = member.link;
        self.runners.push(member);
        Ok(())
    }

    /// Waits until every entry daemon is ready and has its links.
    async fn wait_for_links(&self) -> Outcome {
        let begin = Instant::now();
        for entry in &self.entries {
            wait_until_ready(&format!("{}/readyz", entry.url())).await?;
            let wanted = self.runners.len() as f64;
            while entry.metric("kumquattiller_links{").await? < wanted {
                if begin.elapsed() > LINKS_TIMEOUT {
                    return Err(format!("{} has not all links", entry.process.name()).into());
                }
                sleep(LOOK_PAUSE).await;
            }
        }
        Ok(())
    }
}

/// Puts an entry daemon in the platform's list of VMs.
async fn announce(platform: &str, id: &str, member: &Member) -> Outcome {
    let vm = json!({
        "name": id, "address": member.link, "zone": ZONE, "role": "entry", "phase": "live"
    });
    let request = reqwest::Client::new().put(format!("{platform}/admin/vms/{id}"));
    request.json(&vm).send().await?.error_for_status()?;
    Ok(())
}

/// Makes a configuration the accepted one with the operators' command line.
fn apply(starter: &Starter, platform: &str, configuration: &Configuration) -> Outcome {
    let register = starter.write("register", &serde_json::to_value(&configuration.register)?)?;
    let rules = starter.write("rules", &serde_json::to_value(&configuration.rules)?)?;
    let output = Command::new(starter.programs().path("kumquattiller"))
        .args(["apply", "--platform", platform, "--register", &register, "--rules", &rules])
        .output()?;
    if output.status.success() {
        return Ok(());
    }
    Err(String::from_utf8(output.stderr)?.into())
}

/// Measures processes over a time, while `work` runs.
///
/// # Errors
///
/// Fails when a process has ended.
pub async fn over<T>(
    ids: &[u32],
    work: impl Future<Output = T>,
) -> Result<(T, Vec<Used>), Failure> {
    let before: Vec<f64> =
        ids.iter().map(|id| usage::cpu_seconds(*id)).collect::<Result<_, _>>()?;
    let begin = Instant::now();
    let outcome = work.await;
    let seconds = begin.elapsed().as_secs_f64();
    let mut used = Vec::new();
    for (id, before) in ids.iter().zip(before) {
        let cores = (usage::cpu_seconds(*id)? - before) / seconds;
        used.push(Used { cores, resident: usage::resident_bytes(*id)? });
    }
    Ok((outcome, used))
}

/// Returns the mean of some values.
pub fn mean(values: impl IntoIterator<Item = f64>) -> f64 {
    let (count, sum) = values.into_iter().fold((0.0, 0.0), |(n, s), v| (n + 1.0, s + v));
    if count > 0.0 { sum / count } else { 0.0 }
}
