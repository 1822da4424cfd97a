//! An accepted configuration with the indexes that requests need.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::account;
use kumquattiller_base::place;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use kumquattiller_inventory::Configuration;
use kumquattiller_inventory::register;

/// Deadline of requests without a deadline header or rule.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);

/// A configuration in force.
#[derive(Debug, Default)]
pub struct Snapshot {
    configuration: Configuration,
    accounts: HashMap<String, account::Id>,
    models: HashMap<service::Model, service::Name>,
    largest: HashMap<service::Name, Tokens>,
}

impl Snapshot {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let register = &configuration.register;
        let accounts =
            register.accounts.iter().map(|a| (a.credential.clone(), a.id.clone())).collect();
        let models = register
            .services
            .iter()
            .flat_map(|s| s.models.iter().map(|m| (m.clone(), s.name.clone())))
            .collect();
        let largest =
            register.services.iter().map(|s| (s.name.clone(), largest_set(register, s))).collect();
        Self { accounts, models, largest, configuration }
    }

    /// Returns the configuration.
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the client account that a credential belongs to.
    pub fn account_of(&self, credential: &str) -> Option<&account::Id> {
        self.accounts.get(credential)
    }

    /// Returns the service that has a model.
    pub fn service_of(&self, model: &service::Model) -> Option<&service::Name> {
        self.models.get(model)
    }

    /// Returns a service.
    pub fn service(&self, name: &service::Name) -> Option<&register::Service> {
        self.configuration.register.services.iter().find(|s| &s.name == name)
    }

    /// Returns the memory of the largest set of engines of a service in one availability zone.
    pub fn largest_set(&self, name: &service::Name) -> Tokens {
        self.largest.get(name).copied().unwrap_or_default()
    }

    /// Returns the deadline of a service's requests.
    pub fn deadline_of(&self, name: &service::Name) -> Duration {
        let rule = self.configuration.rules.services.iter().find(|rule| &rule.service == name);
        rule.map_or(DEFAULT_DEADLINE, |rule| Duration::from_millis(rule.deadline_ms))
    }

    /// Returns the rank of a client account; accounts without a rule come last.
    pub fn rank_of(&self, account: &account::Id) -> account::Rank {
        let rules = &self.configuration.rules.accounts;
        rules.iter().find(|rule| &rule.account == account).map_or(account::Rank::MAX, |r| r.rank)
    }

    /// Tells whether a call may be repeated, by the first rule that fits or else by its kind.
    pub fn is_idempotent(&self, name: &service::Name, method: &str, path: &str) -> bool {
        let fits = |rule: &&kumquattiller_inventory::rules::Request| {
            &rule.service == name
                && rule.method.as_ref().is_none_or(|m| m.eq_ignore_ascii_case(method))
                && rule.path.as_ref().is_none_or(|p| path.starts_with(p.as_str()))
        };
        if let Some(rule) = self.configuration.rules.requests.iter().find(fits) {
            return rule.idempotent;
        }
        match self.service(name).map(|service| service.kind) {
            Some(service::Kind::Plain) => matches!(method, "GET" | "HEAD"),
            _ => true,
        }
    }
}

/// Adds up the memory of a service's engines in the availability zone that has most of it.
fn largest_set(register: &register::Register, service: &register::Service) -> Tokens {
    let memory = service.engine_memory.unwrap_or_default();
    let mut zones: HashMap<&place::Zone, Tokens> = HashMap::new();
    for runner in register.runners.iter().filter(|runner| runner.service == service.name) {
        let sum = zones.entry(&runner.zone).or_default();
        *sum = sum.saturating_add(memory);
    }
    zones.into_values().max().unwrap_or_default()
}
