use std::collections::BTreeSet;

use kumquattiller_base::service::Kind;

use crate::check::Fault;
use crate::check::File;
use crate::check::Problem;
use crate::check::index::Index;
use crate::check::index::unknown_name;
use crate::register::Register;
use crate::register::Runner;
use crate::register::Service;

/// Returns all problems of the register.
pub fn check(register: &Register, index: &Index<'_>) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_places(register, &mut problems);
    check_services(register, &mut problems);
    check_runners(register, index, &mut problems);
    check_accounts(register, &mut problems);
    problems
}

fn problem(field: String, fault: Fault) -> Problem {
    Problem { file: File::Register, field, fault }
}

fn duplicate_id(what: &'static str, id: &str) -> Fault {
    Fault::Duplicate { what, id: id.to_owned() }
}

fn check_places(register: &Register, problems: &mut Vec<Problem>) {
    let mut regions = BTreeSet::new();
    let mut zones = BTreeSet::new();
    if register.places.is_empty() {
        problems.push(problem("places".to_owned(), Fault::Empty { what: "the list of places" }));
    }
    for (at, place) in register.places.iter().enumerate() {
        if !regions.insert(place.region.as_str()) {
            let fault = duplicate_id("region", place.region.as_str());
            problems.push(problem(format!("places[{at}].region"), fault));
        }
        for (zone_at, zone) in place.zones.iter().enumerate() {
            if !zones.insert(zone.as_str()) {
                let fault = duplicate_id("availability zone", zone.as_str());
                problems.push(problem(format!("places[{at}].zones[{zone_at}]"), fault));
            }
        }
    }
}

fn check_services(register: &Register, problems: &mut Vec<Problem>) {
    let mut names = BTreeSet::new();
    let services_with_runners: BTreeSet<&str> =
        register.runners.iter().map(|r| r.service.as_str()).collect();
    for (at, service) in register.services.iter().enumerate() {
        if !names.insert(service.name.as_str()) {
            let fault = duplicate_id("service", service.name.as_str());
            problems.push(problem(format!("services[{at}].name"), fault));
        }
        match service.kind {
            Kind::Model => check_model_service(at, service, &services_with_runners, problems),
            Kind::Plain => check_plain_service(at, service, problems),
        }
    }
}

fn check_model_service(
    at: usize,
    service: &Service,
    services_with_runners: &BTreeSet<&str>,
    problems: &mut Vec<Problem>,
) {
    if service.models.is_empty() {
        let fault = Fault::Empty { what: "the list of models" };
        problems.push(problem(format!("services[{at}].models"), fault));
    }
    if service.engine_memory.is_none_or(|memory| memory.get() == 0) {
        let fault = Fault::Empty { what: "engine_memory" };
        problems.push(problem(format!("services[{at}].engine_memory"), fault));
    }
    if services_with_runners.contains(service.name.as_str()) {
        return;
    }
    for (model_at, model) in service.models.iter().enumerate() {
        let fault = Fault::Unserved { model: model.to_string() };
        problems.push(problem(format!("services[{at}].models[{model_at}]"), fault));
    }
}

fn check_plain_service(at: usize, service: &Service, problems: &mut Vec<Problem>) {
    if !service.models.is_empty() {
        let fault = Fault::WrongKind { what: "models", kind: "model" };
        problems.push(problem(format!("services[{at}].models"), fault));
    }
    if service.engine_memory.is_some() {
        let fault = Fault::WrongKind { what: "engine_memory", kind: "model" };
        problems.push(problem(format!("services[{at}].engine_memory"), fault));
    }
}

fn check_runners(register: &Register, index: &Index<'_>, problems: &mut Vec<Problem>) {
    let mut ids = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for (at, runner) in register.runners.iter().enumerate() {
        if !ids.insert(runner.id.as_str()) {
            let fault = duplicate_id("runner", runner.id.as_str());
            problems.push(problem(format!("runners[{at}].id"), fault));
        }
        if !addresses.insert(runner.address) {
            let fault = Fault::DuplicateAddress(runner.address);
            problems.push(problem(format!("runners[{at}].address"), fault));
        }
        check_runner(at, runner, index, problems);
    }
}

fn check_runner(at: usize, runner: &Runner, index: &Index<'_>, problems: &mut Vec<Problem>) {
    if runner.address.ip().is_unspecified() || runner.address.port() == 0 {
        let fault = Fault::UnusableAddress(runner.address);
        problems.push(problem(format!("runners[{at}].address"), fault));
    }
    if !index.zones.contains(runner.zone.as_str()) {
        let known = index.zones.iter().copied();
        let fault = unknown_name("availability zone", runner.zone.as_str(), known);
        problems.push(problem(format!("runners[{at}].zone"), fault));
    }
    if !index.services.contains_key(runner.service.as_str()) {
        let known = index.services.keys().copied();
        let fault = unknown_name("service", runner.service.as_str(), known);
        problems.push(problem(format!("runners[{at}].service"), fault));
    }
}

fn check_accounts(register: &Register, problems: &mut Vec<Problem>) {
    let mut ids = BTreeSet::new();
    let mut credentials = BTreeSet::new();
    for (at, account) in register.accounts.iter().enumerate() {
        if !ids.insert(account.id.as_str()) {
            let fault = duplicate_id("client account", account.id.as_str());
            problems.push(problem(format!("accounts[{at}].id"), fault));
        }
        let field = format!("accounts[{at}].credential");
        if account.credential.trim().is_empty() {
            problems.push(problem(field, Fault::Empty { what: "the credential" }));
        } else if !credentials.insert(account.credential.as_str()) {
            problems.push(problem(field, Fault::DuplicateCredential));
        }
    }
}
