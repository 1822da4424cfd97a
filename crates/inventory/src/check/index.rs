use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::check::Fault;
use crate::register::Register;
use crate::register::Service;
use crate::suggestion;

/// Minimum similarity of an existing name to be suggested for an unknown one, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.8;

/// Names of the entries of a register, to look up references.
#[derive(Debug)]
pub struct Index<'a> {
    pub zones: BTreeSet<&'a str>,
    pub services: BTreeMap<&'a str, &'a Service>,
    /// Name of the service of each runner, by runner id.
    pub runners: BTreeMap<&'a str, &'a str>,
    pub accounts: BTreeSet<&'a str>,
}

impl<'a> Index<'a> {
    /// Creates the index of a register.
    pub fn new(register: &'a Register) -> Self {
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

/// Returns the fault for a name that is not in `known`, with a suggestion if one is similar.
pub fn unknown_name<'a>(
    what: &'static str,
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Fault {
    let suggestion = suggestion::nearest(name, known, MIN_SIMILARITY).map(str::to_owned);
    Fault::Unknown { what, name: name.to_owned(), suggestion }
}
