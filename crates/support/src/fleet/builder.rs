use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use kumquattiller_clients::Transport;
use kumquattiller_clients::configuration::Store;
use kumquattiller_clients::configuration::commit;
use kumquattiller_clients::platform::Client;
use kumquattiller_inventory::Configuration;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::section::Items;
use kumquattiller_rollout::commit::Outcome;
use kumquattiller_standins::engine;
use kumquattiller_standins::platform;
use kumquattiller_standins::service;
use serde_json::Value;
use serde_json::json;

use crate::address;
use crate::fleet::Backend;
use crate::fleet::Binaries;
use crate::fleet::CREDENTIAL;
use crate::fleet::Entry;
use crate::fleet::Fleet;
use crate::fleet::MODEL;
use crate::fleet::MODEL_SERVICE;
use crate::fleet::OTHER_CREDENTIAL;
use crate::fleet::PLAIN_SERVICE;
use crate::fleet::Runner;
use crate::fleet::entry;
use crate::fleet::runner;
use crate::relay::Relay;

/// Availability zone of the fleet.
const ZONE: &str = "pasig";
/// Region of the fleet.
const REGION: &str = "luzon";

/// Builds a fleet.
pub struct Builder {
    binaries: Binaries,
    entries: usize,
    listed: usize,
    engines: usize,
    services: usize,
    engine: engine::Settings,
    service: service::Settings,
    platform: platform::Settings,
    rules: Value,
    trace_endpoint: Option<String>,
}

impl Builder {
    /// Creates a builder of a fleet with two entry daemons, two engines and no plain service.
    pub fn new(binaries: Binaries) -> Self {
        Self {
            binaries,
            entries: 2,
            listed: usize::MAX,
            engines: 2,
            services: 0,
            engine: engine::Settings::default(),
            service: service::Settings::default(),
            platform: platform::Settings::default(),
            rules: json!({}),
            trace_endpoint: None,
        }
    }

    /// Sets the number of entry daemons.
    pub const fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Lists only the first `count` entry daemons in the platform's list of VMs; by default all.
    pub const fn listed(mut self, count: usize) -> Self {
        self.listed = count;
        self
    }

    /// Sets the number of engines.
    pub const fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    /// Sets the number of backend servers of the plain service.
    pub const fn services(mut self, count: usize) -> Self {
        self.services = count;
        self
    }

    /// Sets the settings of the engines.
    pub fn engine(mut self, settings: engine::Settings) -> Self {
        self.engine = settings;
        self
    }

    /// Sets the settings of the plain service's backend servers.
    pub fn service(mut self, settings: service::Settings) -> Self {
        self.service = settings;
        self
    }

    /// Sets the settings of the platform.
    pub fn platform(mut self, settings: platform::Settings) -> Self {
        self.platform = settings;
        self
    }

    /// Sets the rules of the configuration, as JSON.
    pub fn rules(mut self, rules: Value) -> Self {
        self.rules = rules;
        self
    }

    /// Sets the URL to which the programs export traces.
    pub fn trace_endpoint(mut self, url: String) -> Self {
        self.trace_endpoint = Some(url);
        self
    }

    /// Starts the fleet and waits until it serves requests.
    ///
    /// # Panics
    ///
    /// Panics when the fleet cannot be started.
    pub async fn start(self) -> Fleet {
        let ip = address::unique_ip();
        let folder = std::env::temp_dir().join(format!("kumquattiller-{ip}"));
        std::fs::create_dir_all(&folder).expect("folder can be made");
        let platform = platform::Server::start(self.platform.clone());
        let mut runners = Vec::new();
        for index in 0..self.engines {
            let server = engine::Server::start(self.engine.clone());
            let url = server.url();
            let backend = Backend::Engine(server);
            runners.push(self.start_runner(&folder, ip, index, backend, &url, &platform).await);
        }
        for index in self.engines..self.engines + self.services {
            let server = service::Server::start(self.service.clone());
            let url = server.url();
            let backend = Backend::Service(server);
            runners.push(self.start_runner(&folder, ip, index, backend, &url, &platform).await);
        }
        let configuration = self.configuration(&runners);
        let client = Client::new(Transport::new(), &platform.url());
        let items = Items::of(&configuration);
        let outcome = commit(&Store::new(client), items).await;
        assert_eq!(outcome, Outcome::Accepted(Version::new(1)));
        let entries: Vec<Entry> =
            (0..self.entries).map(|i| self.start_entry(&folder, ip, i, &platform)).collect();
        entries.iter().take(self.listed).for_each(|entry| platform.set_vm(entry.vm(ZONE)));
        let binaries = self.binaries;
        let fleet = Fleet { binaries, folder, ip, platform, entries, runners, configuration };
        fleet.wait_until_ready().await;
        fleet.wait_until_linked().await;
        fleet
    }

    /// Starts an entry daemon.
    fn start_entry(
        &self,
        folder: &Path,
        ip: Ipv4Addr,
        index: usize,
        platform: &platform::Server,
    ) -> Entry {
        let id = format!("entry-{index}");
        let http = address::free_port(ip);
        let link = address::free_port(ip);
        let settings = json!({
            "id": id, "region": REGION, "zone": ZONE, "http_address": http,
            "link_address": link, "platform_url": platform.url(), "drain_grace_ms": 300,
            "trace_endpoint": self.trace_endpoint,
        });
        let file = write_settings(folder, &id, &settings);
        let program = entry::start(&self.binaries, &file);
        Entry { id, http, link, settings: file, program }
    }

    /// Starts a runner process and the relay in front of it.
    async fn start_runner(
        &self,
        folder: &Path,
        ip: Ipv4Addr,
        index: usize,
        backend: Backend,
        url: &str,
        platform: &platform::Server,
    ) -> Runner {
        let id = format!("runner-{index}");
        let link = address::free_port(ip);
        let kind = match backend {
            Backend::Engine(_) => "model",
            Backend::Service(_) => "plain",
        };
        let settings = json!({
            "id": id, "zone": ZONE, "link_address": link,
            "http_address": address::free_port(ip),
            "backend": {"kind": kind, "url": url, "memory": self.engine.memory.get()},
            "platform_url": platform.url(),
            "trace_endpoint": self.trace_endpoint,
        });
        let file = write_settings(folder, &id, &settings);
        let program = runner::start(&self.binaries, &file);
        let relay = Relay::start(SocketAddr::from((ip, 0)), link).await;
        Runner { id, link, relay, settings: file, program, backend }
    }

    /// Returns the initial configuration of the fleet.
    fn configuration(&self, runners: &[Runner]) -> Configuration {
        let runner_entries: Vec<Value> = runners
            .iter()
            .map(|runner| {
                let service = match runner.backend {
                    Backend::Engine(_) => MODEL_SERVICE,
                    Backend::Service(_) => PLAIN_SERVICE,
                };
                let address = runner.relay.address();
                json!({"id": runner.id, "service": service, "zone": ZONE, "address": address})
            })
            .collect();
        let value = json!({
            "version": 1,
            "register": {
                "places": [{"region": REGION, "zones": [ZONE]}],
                "services": [
                    {"name": MODEL_SERVICE, "kind": "model", "models": [MODEL],
                     "engine_memory": self.engine.memory.get()},
                    {"name": PLAIN_SERVICE, "kind": "plain"},
                ],
                "runners": runner_entries,
                "accounts": [
                    {"id": "hotline", "credential": CREDENTIAL},
                    {"id": "wards", "credential": OTHER_CREDENTIAL},
                ],
            },
            "rules": self.rules,
        });
        serde_json::from_value(value).expect("configuration is valid")
    }
}

/// Writes a settings file and returns its path.
fn write_settings(folder: &Path, id: &str, settings: &Value) -> PathBuf {
    let file = folder.join(format!("{id}.json"));
    std::fs::write(&file, settings.to_string()).expect("settings can be written");
    file
}
