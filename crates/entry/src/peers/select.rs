use std::collections::BTreeMap;
use std::net::SocketAddr;

use kumquattiller_dialect::platform::Vm;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of links to each other availability zone.
const LINKS_PER_OTHER_ZONE: usize = 2;
/// Role of entry daemons in the list of VMs.
pub const ENTRY_ROLE: &str = "entry";

/// An entry daemon to keep a link to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Endpoint {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
}

impl Endpoint {
    /// Returns whether a VM of the platform's list is this daemon.
    pub fn matches(&self, vm: &Vm) -> bool {
        vm.name == self.name && vm.address.parse() == Ok(self.address)
    }
}

/// Selects the daemons to which the daemon `own` of `zone` opens links.
///
/// Within the zone the daemon with the lower name opens the link. The other one opens it if there
/// is none, since the list may have been unreadable when the daemon with the lower name started.
pub fn select_peers(
    own: &str,
    zone: &str,
    vms: &[Vm],
    is_linked: impl Fn(&str) -> bool,
) -> Vec<Endpoint> {
    let mut selected = Vec::new();
    let mut other_zones: BTreeMap<&str, Vec<&Vm>> = BTreeMap::new();
    for vm in vms.iter().filter(|vm| vm.role == ENTRY_ROLE && vm.name != own) {
        if vm.zone != zone {
            other_zones.entry(&vm.zone).or_default().push(vm);
        } else if own < vm.name.as_str() || !is_linked(&vm.name) {
            selected.extend(to_endpoint(vm));
        }
    }
    for mut vms in other_zones.into_values() {
        let seed = xxh3_64_with_seed(own.as_bytes(), 0);
        vms.sort_by_key(|vm| xxh3_64_with_seed(vm.name.as_bytes(), seed));
        selected.extend(vms.into_iter().take(LINKS_PER_OTHER_ZONE).filter_map(to_endpoint));
    }
    selected
}

fn to_endpoint(vm: &Vm) -> Option<Endpoint> {
    let address = vm.address.parse().ok()?;
    Some(Endpoint { name: vm.name.clone(), zone: vm.zone.clone(), address })
}
