use std::collections::BTreeMap;
use std::net::SocketAddr;

use kumquattiller_dialect::platform::Vm;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Links to each other availability zone.
const FAR_LINKS: usize = 2;
/// Role of entry daemons in the list of VMs.
pub const ENTRY_ROLE: &str = "entry";

/// An entry daemon to have a link to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Chosen {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
}

impl Chosen {
    /// Tells whether a line of the list is about this daemon.
    pub fn is(&self, vm: &Vm) -> bool {
        vm.name == self.name && vm.address.parse() == Ok(self.address)
    }
}

/// Chooses the daemons that the daemon `own` of `zone` opens links to.
///
/// Within the zone the daemon with the lower name opens the link. The other one does so when
/// there is none, as the lower one may have started while the list cannot be read.
pub fn choose(own: &str, zone: &str, vms: &[Vm], is_linked: impl Fn(&str) -> bool) -> Vec<Chosen> {
    let mut chosen = Vec::new();
    let mut far: BTreeMap<&str, Vec<&Vm>> = BTreeMap::new();
    for vm in vms.iter().filter(|vm| vm.role == ENTRY_ROLE && vm.name != own) {
        if vm.zone != zone {
            far.entry(&vm.zone).or_default().push(vm);
        } else if own < vm.name.as_str() || !is_linked(&vm.name) {
            chosen.extend(read(vm));
        }
    }
    for mut vms in far.into_values() {
        let seed = xxh3_64_with_seed(own.as_bytes(), 0);
        vms.sort_by_key(|vm| xxh3_64_with_seed(vm.name.as_bytes(), seed));
        chosen.extend(vms.into_iter().take(FAR_LINKS).filter_map(read));
    }
    chosen
}

fn read(vm: &Vm) -> Option<Chosen> {
    let address = vm.address.parse().ok()?;
    Some(Chosen { name: vm.name.clone(), zone: vm.zone.clone(), address })
}
