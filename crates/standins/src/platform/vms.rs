use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_dialect::platform::Phase;
use kumquattiller_dialect::platform::Vm;
use kumquattiller_dialect::platform::Vms;
use tokio::time::Instant;

/// The list of VMs, in which changes become visible after a lag.
#[derive(Debug)]
pub(super) struct Directory {
    lag: Duration,
    visible: BTreeMap<String, Vm>,
    pending: Vec<(Instant, String, Option<Vm>)>,
}

impl Directory {
    pub(super) const fn new(lag: Duration) -> Self {
        Self { lag, visible: BTreeMap::new(), pending: Vec::new() }
    }

    /// Adds or replaces a VM after the lag, or removes it when `vm` is `None`.
    pub(super) fn set(&mut self, name: &str, vm: Option<Vm>) {
        self.pending.push((Instant::now() + self.lag, name.to_owned(), vm));
    }

    /// Marks a VM as leaving after the lag.
    pub(super) fn mark_leaving(&mut self, name: &str) {
        let pending = self.pending.iter().rev().find(|(_, n, _)| n == name);
        let vm = pending.map_or_else(|| self.visible.get(name).cloned(), |(_, _, vm)| vm.clone());
        if let Some(vm) = vm {
            self.set(name, Some(Vm { phase: Phase::Leaving, ..vm }));
        }
    }

    /// Returns the VMs that are visible now.
    pub(super) fn list(&mut self) -> Vms {
        let now = Instant::now();
        for (_, name, vm) in self.pending.extract_if(.., |(at, _, _)| *at <= now) {
            match vm {
                Some(vm) => self.visible.insert(name, vm),
                None => self.visible.remove(&name),
            };
        }
        Vms { vms: self.visible.values().cloned().collect() }
    }
}
