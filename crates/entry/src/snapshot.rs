//! An accepted configuration with indexes for request lookups.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::account;
use kumquattiller_base::place;
use kumquattiller_base::rate::TokensPerSecond;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use kumquattiller_inventory::Configuration;
use kumquattiller_inventory::register;

/// Time limit of a request without a deadline header or a service rule.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);

/// The active configuration and its indexes.
#[derive(Debug, Default)]
pub struct Snapshot {
    configuration: Configuration,
    accounts: HashMap<String, account::Id>,
    models: HashMap<service::Model, service::Name>,
    /// Engine memory of each service in the availability zone that has most of it.
    zone_memory: HashMap<service::Name, Tokens>,
}

impl Snapshot {
    /// Builds the indexes of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let register = &configuration.register;
        let accounts =
            register.accounts.iter().map(|a| (a.credential.clone(), a.id.clone())).collect();
        let models = register
            .services
            .iter()
            .flat_map(|s| s.models.iter().map(|m| (m.clone(), s.name.clone())))
            .collect();
        let zone_memory = register
            .services
            .iter()
            .map(|s| (s.name.clone(), largest_zone_memory(register, s)))
            .collect();
        Self { accounts, models, zone_memory, configuration }
    }

    /// Returns the configuration.
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the client account that a credential belongs to.
    pub fn account_of(&self, credential: &str) -> Option<&account::Id> {
        self.accounts.get(credential)
    }

    /// Returns the service that serves a model.
    pub fn service_of(&self, model: &service::Model) -> Option<&service::Name> {
        self.models.get(model)
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &service::Name) -> Option<&register::Service> {
        self.configuration.register.services.iter().find(|s| &s.name == name)
    }

    /// Returns the total memory of a service's engines in the availability zone that has most of
    /// it, in tokens.
    pub fn largest_zone_memory(&self, name: &service::Name) -> Tokens {
        self.zone_memory.get(name).copied().unwrap_or_default()
    }

    /// Returns the time limit of a service's requests that set none themselves.
    pub fn deadline_of(&self, name: &service::Name) -> Duration {
        let rule = self.configuration.rules.services.iter().find(|rule| &rule.service == name);
        rule.map_or(DEFAULT_DEADLINE, |rule| Duration::from_millis(rule.deadline_ms))
    }

    /// Returns the rank of a client account; an account without a rule has the lowest priority.
    pub fn rank_of(&self, account: &account::Id) -> account::Rank {
        let rules = &self.configuration.rules.accounts;
        rules.iter().find(|rule| &rule.account == account).map_or(account::Rank::MAX, |r| r.rank)
    }

    /// Returns the token-rate limit of a client account, if it has one.
    pub fn limit_of(&self, account: &account::Id) -> Option<TokensPerSecond> {
        self.limits().find(|(id, _)| *id == account).map(|(_, rate)| rate)
    }

    /// Returns the client accounts that have a token-rate limit, with the limit.
    pub fn limits(&self) -> impl Iterator<Item = (&account::Id, TokensPerSecond)> {
        let rules = self.configuration.rules.accounts.iter();
        rules.filter_map(|rule| Some((&rule.account, rule.tokens_per_second?)))
    }

    /// Returns whether a call is idempotent, by the first matching rule.
    ///
    /// Without a rule, calls to model services and `GET` and `HEAD` calls to plain services are
    /// idempotent.
    pub fn is_idempotent(&self, name: &service::Name, method: &str, path: &str) -> bool {
        let matches_call = |rule: &&kumquattiller_inventory::rules::Request| {
            &rule.service == name
                && rule.method.as_ref().is_none_or(|m| m.eq_ignore_ascii_case(method))
                && rule.path.as_ref().is_none_or(|p| path.starts_with(p.as_str()))
        };
        if let Some(rule) = self.configuration.rules.requests.iter().find(matches_call) {
            return rule.idempotent;
        }
        match self.service(name).map(|service| service.kind) {
            Some(service::Kind::Plain) => matches!(method, "GET" | "HEAD"),
            _ => true,
        }
    }
}

/// Returns the total memory of a service's engines in the availability zone that has most of it.
fn largest_zone_memory(register: &register::Register, service: &register::Service) -> Tokens {
    let memory = service.engine_memory.unwrap_or_default();
    let mut zones: HashMap<&place::Zone, Tokens> = HashMap::new();
    for runner in register.runners.iter().filter(|runner| runner.service == service.name) {
        let sum = zones.entry(&runner.zone).or_default();
        *sum = sum.saturating_add(memory);
    }
    zones.into_values().max().unwrap_or_default()
}
