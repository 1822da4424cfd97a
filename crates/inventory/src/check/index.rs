use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::check::Fault;
use crate::register::Register;
use crate::register::Service;
use crate::suggestion;

/// Least similarity of a name that is worth a suggestion, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.8;

/// The names of a register.
#[derive(Debug)]
pub struct Index<'a> {
    pub zones: BTreeSet<&'a str>,
    pub services: BTreeMap<&'a str, &'a Service>,
    /// Service of each runner.
    pub runners: BTreeMap<&'a str, &'a str>,
    pub accounts: BTreeSet<&'a str>,
}

impl<'a> Index<'a> {
    /// Collects the names of `register`.
    pub fn of(register: &'a Register) -> Self {
        let places = register.places.iter();
        let services = register.services.iter();
        let runners = register.runners.iter();
        let accounts = register.accounts.iter();
        Self {
            zones: places.flat_map(|p| &p.zones).map(|z| z.as_str()).collect(),
            services: services.map(|s| (s.name.as_str(), s)).collect(),
            runners: runners.map(|r| (r.id.as_str(), r.service.as_str())).collect(),
            accounts: accounts.map(|a| a.id.as_str()).collect(),
        }
    }
}

/// Makes the fault of a name that is not among `known`.
pub fn unknown<'a>(
    what: &'static str,
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Fault {
    let suggestion = suggestion::nearest(name, known, MIN_SIMILARITY).map(str::to_owned);
    Fault::Unknown { what, name: name.to_owned(), suggestion }
}
