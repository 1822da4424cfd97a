use std::process::Command;

use serde_json::json;

use crate::Error;
use crate::Result;
use crate::demo::inventory::Inventory;
use crate::fleet::Daemon;
use crate::fleet::Launcher;
use crate::fleet::Programs;
use crate::fleet::Standin;
use crate::fleet::wait_for_links;
use crate::root;

/// Number of model engines.
const ENGINE_COUNT: usize = 4;
/// Number of entry daemons.
const ENTRY_COUNT: usize = 2;
/// KV cache capacity of an engine, in tokens.
const ENGINE_MEMORY_TOKENS: u64 = 450_000;
/// Folder of settings and logs, relative to the root of the repository.
const FOLDER: &str = "target/demo";
/// Metric that counts the links to runner processes.
const RUNNER_LINKS_METRIC: &str = "kumquattiller_links{peer=\"runner\"}";

/// The processes of the demo; dropping it kills them.
#[derive(Debug)]
pub struct Fleet {
    /// Entry daemons.
    pub entries: Vec<Daemon>,
    /// Runner processes.
    pub runners: Vec<Daemon>,
    /// Stand-ins for the engines, the plain service and the platform.
    pub standins: Vec<Standin>,
    /// The register and rules of the demo.
    pub inventory: Inventory,
    /// Starts the processes.
    pub launcher: Launcher,
}

impl Fleet {
    /// Starts all processes, applies the register and rules and waits until the fleet serves.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or become ready, or when the rules are rejected.
    pub async fn start(programs: Programs) -> Result<Self, Error> {
        let launcher = Launcher::new(programs, root().join(FOLDER))?;
        let platform = launcher.start_standin("platform", "platform", &[])?;
        println!("platform   {}", platform.url);
        let mut fleet = Self {
            entries: Vec::new(),
            runners: Vec::new(),
            standins: Vec::new(),
            inventory: Inventory::read(ENGINE_COUNT)?,
            launcher,
        };
        fleet.start_runners(&platform.url).await?;
        fleet.start_entries(&platform.url).await?;
        fleet.apply_configuration(&platform.url)?;
        fleet.standins.push(platform);
        wait_for_links(&fleet.entries, RUNNER_LINKS_METRIC, fleet.runners.len()).await?;
        Ok(fleet)
    }

    /// Starts each backend server and its runner process.
    async fn start_runners(&mut self, platform: &str) -> Result {
        for (index, (id, zone, kind)) in self.inventory.runners().into_iter().enumerate() {
            let name = format!("backend-{id}");
            let standin = match kind {
                "plain" => self.launcher.start_standin(&name, "service", &[])?,
                _ => self.launcher.start_standin(&name, "engine", &self.engine_options())?,
            };
            let backend = json!({"kind": kind, "url": standin.url, "memory": ENGINE_MEMORY_TOKENS});
            let daemon = self.launcher.start_runner(&id, &zone, &backend, platform).await?;
            println!("runner     {id} in {zone}, beside {} at {}", kind, standin.url);
            self.inventory.set_address(index, daemon.link_address);
            self.runners.push(daemon);
            self.standins.push(standin);
        }
        Ok(())
    }

    /// Starts the entry daemons.
    async fn start_entries(&mut self, platform: &str) -> Result {
        let (region, zones) = self.inventory.places();
        for index in 0..ENTRY_COUNT {
            let id = format!("entry-{}", index + 1);
            let zone = &zones[index % zones.len()];
            let daemon = self.launcher.start_entry(&id, (&region, zone), platform).await?;
            println!("entry      {id} in {zone}, {}", daemon.url());
            self.entries.push(daemon);
        }
        Ok(())
    }

    /// Applies the register and rules with the command-line program.
    fn apply_configuration(&self, platform: &str) -> Result {
        let register = self.launcher.write_json("register", self.inventory.register())?;
        let rules = self.launcher.write_json("rules", self.inventory.rules())?;
        let program = self.launcher.programs().path("kumquattiller");
        println!("\n$ kumquattiller apply --platform URL --register FILE --rules FILE");
        let status = Command::new(program)
            .args(["apply", "--register", &register, "--rules", &rules])
            .args(["--platform", platform])
            .status()?;
        if status.success() { Ok(()) } else { Err(format!("apply exited with {status}").into()) }
    }

    /// Returns the options of the stand-in engines: their memory and loaded models.
    fn engine_options(&self) -> Vec<String> {
        let mut options = vec!["--memory".to_owned(), ENGINE_MEMORY_TOKENS.to_string()];
        for model in self.inventory.desired_models() {
            options.extend(["--model".to_owned(), model]);
        }
        options
    }
}
