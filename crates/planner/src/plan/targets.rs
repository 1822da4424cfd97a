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

/// Computes what the accepted configuration asks of each runner.
///
/// A later rule goes before an earlier one. Runners without a rule are left as they are.
pub fn targets(configuration: &Configuration) -> Targets {
    let mut targets = Targets::new();
    for rule in &configuration.rules.desired {
        let runners = configuration.register.runners.iter();
        let meant = runners.filter(|r| {
            r.service == rule.service && (rule.runners.is_empty() || rule.runners.contains(&r.id))
        });
        for runner in meant {
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
        // The check of the whole configuration refuses other roles.
        role: rule.role.parse().unwrap_or_default(),
    }
}
