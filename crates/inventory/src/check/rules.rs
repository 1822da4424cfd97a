use std::collections::BTreeSet;

use kumquattiller_base::service::Kind;

use crate::check::Fault;
use crate::check::File;
use crate::check::Problem;
use crate::check::index::Index;
use crate::check::index::unknown_name;
use crate::register::Register;
use crate::rules::Desired;
use crate::rules::Rules;

/// Roles that an engine may have.
const ROLES: [&str; 3] = ["both", "prefill", "decode"];

/// Returns all problems of the rules.
pub fn check(register: &Register, rules: &Rules, index: &Index<'_>) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_accounts(rules, index, &mut problems);
    check_requests(rules, index, &mut problems);
    check_services(rules, index, &mut problems);
    check_desired(register, rules, index, &mut problems);
    check_limits(rules, &mut problems);
    problems
}

fn problem(field: String, fault: Fault) -> Problem {
    Problem { file: File::Rules, field, fault }
}

fn check_service_exists(field: String, name: &str, index: &Index<'_>, problems: &mut Vec<Problem>) {
    if !index.services.contains_key(name) {
        let fault = unknown_name("service", name, index.services.keys().copied());
        problems.push(problem(field, fault));
    }
}

fn check_accounts(rules: &Rules, index: &Index<'_>, problems: &mut Vec<Problem>) {
    let mut seen = BTreeSet::new();
    for (at, rule) in rules.accounts.iter().enumerate() {
        let name = rule.account.as_str();
        if !index.accounts.contains(name) {
            let fault = unknown_name("client account", name, index.accounts.iter().copied());
            problems.push(problem(format!("accounts[{at}].account"), fault));
        }
        if !seen.insert(name) {
            let fault = Fault::Duplicate { what: "rule for client account", id: name.to_owned() };
            problems.push(problem(format!("accounts[{at}].account"), fault));
        }
        if rule.tokens_per_second.is_some_and(|rate| rate.get() == 0) {
            let fault = Fault::OutOfRange { value: "0".to_owned(), range: "above 0" };
            problems.push(problem(format!("accounts[{at}].tokens_per_second"), fault));
        }
    }
}

fn check_requests(rules: &Rules, index: &Index<'_>, problems: &mut Vec<Problem>) {
    let mut seen = BTreeSet::new();
    for (at, rule) in rules.requests.iter().enumerate() {
        check_service_exists(
            format!("requests[{at}].service"),
            rule.service.as_str(),
            index,
            problems,
        );
        if !seen.insert((rule.service.as_str(), &rule.method, &rule.path)) {
            let id = rule.service.to_string();
            let fault = Fault::Duplicate { what: "rule for the same calls of service", id };
            problems.push(problem(format!("requests[{at}]"), fault));
        }
        if rule.path.as_ref().is_some_and(|path| !path.starts_with('/')) {
            let value = rule.path.clone().unwrap_or_default();
            let fault = Fault::NotAllowed { value, allowed: "the paths that start with /" };
            problems.push(problem(format!("requests[{at}].path"), fault));
        }
    }
}

fn check_services(rules: &Rules, index: &Index<'_>, problems: &mut Vec<Problem>) {
    let mut seen = BTreeSet::new();
    for (at, rule) in rules.services.iter().enumerate() {
        let name = rule.service.as_str();
        check_service_exists(format!("services[{at}].service"), name, index, problems);
        if !seen.insert(name) {
            let fault = Fault::Duplicate { what: "rule for service", id: name.to_owned() };
            problems.push(problem(format!("services[{at}].service"), fault));
        }
        if rule.deadline_ms == 0 {
            let fault = Fault::OutOfRange { value: "0".to_owned(), range: "above 0" };
            problems.push(problem(format!("services[{at}].deadline_ms"), fault));
        }
        if !(0.0..=1.0).contains(&rule.short_weight) {
            let value = rule.short_weight.to_string();
            let fault = Fault::OutOfRange { value, range: "from 0 to 1" };
            problems.push(problem(format!("services[{at}].short_weight"), fault));
        }
    }
}

fn check_desired(
    register: &Register,
    rules: &Rules,
    index: &Index<'_>,
    problems: &mut Vec<Problem>,
) {
    for (at, desired) in rules.desired.iter().enumerate() {
        let name = desired.service.as_str();
        check_service_exists(format!("desired[{at}].service"), name, index, problems);
        check_desired_runners(at, desired, index, problems);
        check_desired_models(at, desired, register, problems);
        if !ROLES.contains(&desired.role.as_str()) {
            let value = desired.role.clone();
            let fault = Fault::NotAllowed { value, allowed: "both, prefill, decode" };
            problems.push(problem(format!("desired[{at}].role"), fault));
        }
    }
}

fn check_desired_runners(
    at: usize,
    desired: &Desired,
    index: &Index<'_>,
    problems: &mut Vec<Problem>,
) {
    for (runner_at, runner) in desired.runners.iter().enumerate() {
        let field = format!("desired[{at}].runners[{runner_at}]");
        match index.runners.get(runner.as_str()) {
            None => {
                let known = index.runners.keys().copied();
                problems.push(problem(field, unknown_name("runner", runner.as_str(), known)));
            }
            Some(service) if *service != desired.service.as_str() => {
                let runner = runner.to_string();
                let service = (*service).to_owned();
                problems.push(problem(field, Fault::OtherService { runner, service }));
            }
            Some(_) => {}
        }
    }
}

fn check_desired_models(
    at: usize,
    desired: &Desired,
    register: &Register,
    problems: &mut Vec<Problem>,
) {
    let Some(service) = register.services.iter().find(|s| s.name == desired.service) else {
        return;
    };
    if service.kind == Kind::Plain {
        let fault = Fault::WrongKind { what: "desired models", kind: "model" };
        problems.push(problem(format!("desired[{at}].service"), fault));
        return;
    }
    for (model_at, model) in desired.models.iter().enumerate() {
        if !service.models.contains(&model.name) {
            let known = service.models.iter().map(|m| m.as_str());
            let fault = unknown_name("model of the service", model.name.as_str(), known);
            problems.push(problem(format!("desired[{at}].models[{model_at}].name"), fault));
        }
    }
}

fn check_limits(rules: &Rules, problems: &mut Vec<Problem>) {
    let limits = [
        ("body_limit", rules.body_limit.get()),
        ("loads_per_minute", u64::from(rules.loads_per_minute)),
    ];
    for (field, value) in limits {
        if value == 0 {
            let fault = Fault::OutOfRange { value: "0".to_owned(), range: "above 0" };
            problems.push(problem(field.to_owned(), fault));
        }
    }
}
