use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::time::sleep;

use crate::Failure;
use crate::Outcome;
use crate::demo::inventory::Inventory;
use crate::fleet::Member;
use crate::fleet::Programs;
use crate::fleet::Standin;
use crate::fleet::Starter;
use crate::fleet::wait_until_ready;
use crate::root;

/// Model engines of the demo.
const ENGINES: usize = 4;
/// Entry daemons of the demo.
const ENTRIES: usize = 2;
/// KV memory of an engine, in tokens.
const ENGINE_MEMORY: u64 = 450_000;
/// Folder of settings and logs, from the root of the repository.
const FOLDER: &str = "target/demo";
/// Longest wait for all links.
const LINKS_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between looks at the links.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// The processes of the demo; dropping it ends them.
#[derive(Debug)]
pub struct Fleet {
    /// Entry daemons.
    pub entries: Vec<Member>,
    /// Runner processes.
    pub runners: Vec<Member>,
    /// Stand-ins of engines, service and platform.
    pub standins: Vec<Standin>,
    /// Register and rules that were applied.
    pub inventory: Inventory,
    /// Starts processes.
    pub starter: Starter,
}

impl Fleet {
    /// Starts everything and applies register and rules.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or does not become ready.
    pub async fn start(programs: Programs) -> Result<Self, Failure> {
        let starter = Starter::new(programs, root().join(FOLDER))?;
        let platform = starter.standin("platform", "platform", &[])?;
        println!("platform   {}", platform.url);
        let mut fleet = Self {
            entries: Vec::new(),
            runners: Vec::new(),
            standins: Vec::new(),
            inventory: Inventory::read(ENGINES)?,
            starter,
        };
        fleet.start_runners(&platform.url).await?;
        fleet.start_entries(&platform.url).await?;
        fleet.apply(&platform.url)?;
        fleet.standins.push(platform);
        fleet.wait_for_links().await?;
        Ok(fleet)
    }

    /// Starts backend servers and the runner processes beside them.
    async fn start_runners(&mut self, platform: &str) -> Outcome {
        for (index, (id, zone, kind)) in self.inventory.runners().into_iter().enumerate() {
            let name = format!("backend-{id}");
            let standin = match kind {
                "plain" => self.starter.standin(&name, "service", &[])?,
                _ => self.starter.standin(&name, "engine", &self.engine_options())?,
            };
            let backend = json!({"kind": kind, "url": standin.url, "memory": ENGINE_MEMORY});
            let member = self.starter.runner(&id, &zone, &backend, platform).await?;
            println!("runner     {id} in {zone}, beside {} at {}", kind, standin.url);
            self.inventory.set_address(index, member.link);
            self.runners.push(member);
            self.standins.push(standin);
        }
        Ok(())
    }

    /// Starts the entry daemons.
    async fn start_entries(&mut self, platform: &str) -> Outcome {
        let (region, zones) = self.inventory.places();
        for index in 0..ENTRIES {
            let id = format!("entry-{}", index + 1);
            let zone = &zones[index % zones.len()];
            let member = self.starter.entry(&id, (&region, zone), platform).await?;
            println!("entry      {id} in {zone}, {}", member.url());
            self.entries.push(member);
        }
        Ok(())
    }

    /// Applies register and rules with the operators' command line.
    fn apply(&self, platform: &str) -> Outcome {
        let register = self.starter.write("register", self.inventory.register())?;
        let rules = self.starter.write("rules", self.inventory.rules())?;
        let program = self.starter.programs().path("kumquattiller");
        println!("\n$ kumquattiller apply --platform URL --register FILE --rules FILE");
        let status = Command::new(program)
            .args(["apply", "--register", &register, "--rules", &rules])
            .args(["--platform", platform])
            .status()?;
        if status.success() { Ok(()) } else { Err(format!("apply ended with {status}").into()) }
    }

    /// Waits until every entry daemon is ready and has a link to every runner.
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

    /// Returns the options of the stand-in engines: memory and the loaded models.
    fn engine_options(&self) -> Vec<String> {
        let mut options = vec!["--memory".to_owned(), ENGINE_MEMORY.to_string()];
        for model in self.inventory.desired_models() {
            options.extend(["--model".to_owned(), model]);
        }
        options
    }
}
