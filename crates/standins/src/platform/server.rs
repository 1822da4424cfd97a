use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use kumquattiller_dialect::platform::List;
use kumquattiller_dialect::platform::Vm;
use serde_json::Value;
use tokio::sync::watch;

use crate::host::Host;
use crate::platform::Calls;
use crate::platform::Settings;
use crate::platform::calls::Limit;
use crate::platform::faults::Faults;
use crate::platform::routes;
use crate::platform::store::Condition;
use crate::platform::store::Store;
use crate::platform::vms::Directory;

/// What the platform keeps over a kill.
#[derive(Debug)]
pub(super) struct Kept {
    pub(super) store: Store,
    pub(super) vms: Directory,
    pub(super) faults: Faults,
    pub(super) calls: Calls,
    pub(super) reads: Limit,
    pub(super) writes: Limit,
}

/// What the routes share.
#[derive(Clone)]
pub(super) struct Shared {
    kept: Arc<Mutex<Kept>>,
    /// Rises with each change and each switched fault.
    pub(super) changed: Arc<watch::Sender<u64>>,
    pub(super) latency: Duration,
}

impl Shared {
    fn new(settings: &Settings) -> Self {
        let kept = Kept {
            store: Store::new(settings.kept_changes),
            vms: Directory::new(settings.vm_lag),
            faults: Faults::default(),
            calls: Calls::default(),
            reads: Limit::new(settings.reads_per_second),
            writes: Limit::new(settings.writes_per_second),
        };
        Self {
            kept: Arc::new(Mutex::new(kept)),
            changed: Arc::new(watch::Sender::new(0)),
            latency: settings.latency,
        }
    }

    /// Locks what is kept.
    pub(super) fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().expect("no thread panicked")
    }

    /// Wakes waiting watches.
    pub(super) fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Switches the outage.
    pub(super) fn set_outage(&self, on: bool) {
        self.lock().faults.outage = on;
        self.wake();
    }
}

/// A running platform.
pub struct Server {
    host: Arc<Host>,
    shared: Shared,
}

impl Server {
    /// Starts a platform.
    ///
    /// # Panics
    ///
    /// Panics when the address cannot be bound.
    pub fn start(settings: Settings) -> Self {
        let shared = Shared::new(&settings);
        let served = shared.clone();
        let host = Host::start(settings.address, move |_| routes::endpoint(served.clone()));
        Self { host, shared }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.host.url()
    }

    /// Drops the listener and every connection; the objects stay.
    pub fn kill(&self) {
        self.host.kill();
    }

    /// Starts the platform again on the same port.
    pub fn restart(&self) {
        self.host.restart();
    }

    /// Makes every call answer 503, or ends that.
    pub fn set_outage(&self, on: bool) {
        self.shared.set_outage(on);
    }

    /// Sets what every call takes more.
    pub fn set_slowness(&self, slowness: Duration) {
        self.shared.lock().faults.slowness = slowness;
    }

    /// Lets the next `count` writes take effect and cuts their connections.
    pub fn lose_answers(&self, count: u32) {
        self.shared.lock().faults.lost_answers = count;
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }

    /// Sets a VM of the list, which shows it after the lag.
    pub fn set_vm(&self, vm: Vm) {
        let name = vm.name.clone();
        self.shared.lock().vms.set(&name, Some(vm));
    }

    /// Marks a VM as leaving, after the lag.
    pub fn leave_vm(&self, name: &str) {
        self.shared.lock().vms.leave(name);
    }

    /// Removes a VM from the list, after the lag.
    pub fn remove_vm(&self, name: &str) {
        self.shared.lock().vms.set(name, None);
    }

    /// Returns the objects of a kind, past all faults.
    pub fn list(&self, kind: &str) -> List {
        self.shared.lock().store.list(kind)
    }

    /// Writes an object without a condition, past all faults, and returns its version.
    pub fn put(&self, kind: &str, name: &str, value: Value) -> u64 {
        let version = self.shared.lock().store.put(kind, name, value, Condition::None);
        self.shared.wake();
        version.unwrap_or_default()
    }
}
