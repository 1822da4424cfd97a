use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use kumquattiller_inventory::Configuration;
use serde_json::json;
use tokio::time::sleep;

use crate::Error;
use crate::Result;
use crate::fleet::Daemon;
use crate::fleet::Launcher;
use crate::fleet::Programs;
use crate::fleet::Standin;
use crate::fleet::wait_for_links;
use crate::root;
use crate::slopes::sample;
use crate::slopes::usage;

/// Folder of settings and logs, relative to the root of the repository.
const FOLDER: &str = "target/slopes";
/// Prefix of the metrics that count the links of a daemon to all roles.
const LINKS_METRIC: &str = "kumquattiller_links{";
/// Time between the start of a cluster and its first measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Availability zone of all processes.
const ZONE: &str = "zone-0";
/// Name of the model that all engines serve.
pub const MODEL: &str = "name-0";
/// Credential of the first client account.
pub const CREDENTIAL: &str = "00000000000000000000000000000000";

/// The number of processes and client accounts of a cluster.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of entry daemons.
    pub entries: usize,
    /// Number of runner processes.
    pub runners: usize,
    /// Number of model engines; runner processes are assigned to them in turn.
    pub engines: usize,
    /// Number of client accounts.
    pub accounts: usize,
}

/// A local cluster for measurements; dropping it kills its processes.
#[derive(Debug)]
pub struct Cluster {
    /// Entry daemons.
    pub entries: Vec<Daemon>,
    /// Runner processes.
    pub runners: Vec<Daemon>,
    /// Stand-in model engines.
    pub engines: Vec<Standin>,
    /// The stand-in platform.
    pub platform: Standin,
}

/// Resources that a process used during a measurement.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Mean processor time, in cores.
    pub cores: f64,
    /// Resident memory at the end, in bytes.
    pub resident: f64,
}

impl Cluster {
    /// Starts a cluster and waits until it serves; `engine_options` go to each stand-in engine.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or not all links open.
    pub async fn start(
        programs: &Programs,
        size: Size,
        engine_options: &[String],
    ) -> Result<Self, Error> {
        let launcher = Launcher::new(programs.clone(), root().join(FOLDER))?;
        let platform = launcher.start_standin("platform", "platform", &[])?;
        let mut engines = Vec::new();
        for index in 0..size.engines {
            engines.push(launcher.start_standin(
                &format!("engine-{index}"),
                "engine",
                engine_options,
            )?);
        }
        let mut configuration = sample::configuration(size.runners, size.accounts)?;
        configuration.register.services.truncate(1);
        let mut cluster = Self { entries: vec![], runners: vec![], engines, platform };
        for index in 0..size.runners {
            cluster.add_runner(&launcher, &mut configuration, index).await?;
        }
        apply_configuration(&launcher, &cluster.platform.url, &configuration)?;
        for index in 0..size.entries {
            let id = format!("entry-{index}");
            let platform = &cluster.platform.url;
            let daemon = launcher.start_entry(&id, ("region-0", ZONE), platform).await?;
            add_vm(platform, &id, &daemon).await?;
            cluster.entries.push(daemon);
        }
        wait_for_links(&cluster.entries, LINKS_METRIC, cluster.runners.len()).await?;
        sleep(SETTLE_TIME).await;
        Ok(cluster)
    }

    /// Returns the number of store reads that the platform has counted.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn store_reads(&self) -> Result<f64, Error> {
        let calls: serde_json::Value =
            reqwest::get(format!("{}/admin/calls", self.platform.url)).await?.json().await?;
        calls["reads"].as_f64().ok_or_else(|| "the platform returned no count of reads".into())
    }

    /// Starts a runner process for the first service and sets its address in the register.
    async fn add_runner(
        &mut self,
        launcher: &Launcher,
        configuration: &mut Configuration,
        index: usize,
    ) -> Result {
        let runner = &mut configuration.register.runners[index];
        runner.service = "model-0".parse()?;
        runner.zone = ZONE.parse()?;
        let url = &self.engines[index % self.engines.len()].url;
        let backend = json!({"kind": "model", "url": url, "memory": 450_000});
        let zone = runner.zone.to_string();
        let daemon =
            launcher.start_runner(runner.id.as_str(), &zone, &backend, &self.platform.url).await?;
        runner.address = daemon.link_address;
        self.runners.push(daemon);
        Ok(())
    }
}

/// Adds an entry daemon to the platform's list of VMs.
async fn add_vm(platform: &str, id: &str, daemon: &Daemon) -> Result {
    let vm = json!({
        "name": id, "address": daemon.link_address, "zone": ZONE, "role": "entry", "phase": "live"
    });
    let request = reqwest::Client::new().put(format!("{platform}/admin/vms/{id}"));
    request.json(&vm).send().await?.error_for_status()?;
    Ok(())
}

/// Applies a configuration with the command-line program.
fn apply_configuration(
    launcher: &Launcher,
    platform: &str,
    configuration: &Configuration,
) -> Result {
    let register =
        launcher.write_json("register", &serde_json::to_value(&configuration.register)?)?;
    let rules = launcher.write_json("rules", &serde_json::to_value(&configuration.rules)?)?;
    let output = Command::new(launcher.programs().path("kumquattiller"))
        .args(["apply", "--platform", platform, "--register", &register, "--rules", &rules])
        .output()?;
    if output.status.success() {
        return Ok(());
    }
    Err(String::from_utf8(output.stderr)?.into())
}

/// Runs `work` and returns its output and what each process used meanwhile.
///
/// # Errors
///
/// Fails when a process has exited.
pub async fn measure_usage<T>(
    pids: &[u32],
    work: impl Future<Output = T>,
) -> Result<(T, Vec<Usage>), Error> {
    let before: Vec<f64> =
        pids.iter().map(|pid| usage::cpu_seconds(*pid)).collect::<Result<_, _>>()?;
    let started = Instant::now();
    let output = work.await;
    let seconds = started.elapsed().as_secs_f64();
    let mut usages = Vec::new();
    for (pid, before) in pids.iter().zip(before) {
        let cores = (usage::cpu_seconds(*pid)? - before) / seconds;
        usages.push(Usage { cores, resident: usage::resident_bytes(*pid)? });
    }
    Ok((output, usages))
}

/// Returns the mean of the values, or 0 when there are none.
pub fn mean(values: impl IntoIterator<Item = f64>) -> f64 {
    let (count, sum) = values.into_iter().fold((0.0, 0.0), |(n, s), v| (n + 1.0, s + v));
    if count > 0.0 { sum / count } else { 0.0 }
}
