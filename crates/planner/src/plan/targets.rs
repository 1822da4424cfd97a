use std::collections::BTreeMap;

use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_dialect::engine::Adapter;
use kumquattiller_dialect::engine::Model;
use kumquattiller_inventory::Configuration;
use kumquattiller_inventory::rules::Desired;
use kumquattiller_inventory::rules::Versioned;

use crate::plan::Target;

/// Targets of runners, by service.
pub type Targets = BTreeMap<service::Name, BTreeMap<runner::Id, Target>>;

/// Computes the target of each runner from the accepted configuration.
///
/// Later rules override earlier ones. Runners that no rule applies to have no target and are
/// not changed.
pub fn targets(configuration: &Configuration) -> Targets {
    let mut targets = Targets::new();
    for rule in &configuration.rules.desired {
        let runners = configuration.register.runners.iter();
        let matching = runners.filter(|r| {
            r.service == rule.service && (rule.runners.is_empty() || rule.runners.contains(&r.id))
        });
        for runner in matching {
            let service = targets.entry(rule.service.clone()).or_default();
            service.insert(runner.id.clone(), target(rule));
        }
    }
    targets
}

fn target(rule: &Desired) -> Target {
    let model = |v: &Versioned| Model { name: v.name.to_string(), version: v.version.clone() };
    let adapter = |v: &Versioned| Adapter { name: v.name.to_string(), version: v.version.clone() };
    Target {
        models: rule.models.iter().map(model).collect(),
        adapters: rule.adapters.iter().map(adapter).collect(),
        // Validation of the configuration rejects unknown roles.
        role: rule.role.parse().unwrap_or_default(),
    }
}
