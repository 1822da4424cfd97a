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
use crate::platform::calls::RateLimiter;
use crate::platform::faults::Faults;
use crate::platform::routes;
use crate::platform::store::Condition;
use crate::platform::store::Store;
use crate::platform::vms::Directory;

/// State of the platform that survives a kill.
#[derive(Debug)]
pub(super) struct State {
    pub(super) store: Store,
    pub(super) vms: Directory,
    pub(super) faults: Faults,
    pub(super) calls: Calls,
    pub(super) reads: RateLimiter,
    pub(super) writes: RateLimiter,
}

/// State shared by the routes.
#[derive(Clone)]
pub(super) struct Shared {
    state: Arc<Mutex<State>>,
    /// Incremented with each change of an object and each change of the outage.
    pub(super) changed: Arc<watch::Sender<u64>>,
    pub(super) latency: Duration,
}

impl Shared {
    fn new(settings: &Settings) -> Self {
        let state = State {
            store: Store::new(settings.kept_changes),
            vms: Directory::new(settings.vm_lag),
            faults: Faults::default(),
            calls: Calls::default(),
            reads: RateLimiter::new(settings.reads_per_second),
            writes: RateLimiter::new(settings.writes_per_second),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(watch::Sender::new(0)),
            latency: settings.latency,
        }
    }

    /// Locks the state.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked")
    }

    /// Wakes pending watches.
    pub(super) fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Starts or ends an outage and wakes pending watches.
    pub(super) fn set_outage(&self, on: bool) {
        self.lock().faults.outage = on;
        self.wake();
    }
}

/// A platform server.
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
        let route_shared = shared.clone();
        let host = Host::start(settings.address, move |_| routes::endpoint(route_shared.clone()));
        Self { host, shared }
    }

    /// Returns the address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.host.url()
    }

    /// Drops the listener and all connections, and keeps the objects.
    pub fn kill(&self) {
        self.host.kill();
    }

    /// Restarts the platform on the same port.
    pub fn restart(&self) {
        self.host.restart();
    }

    /// Starts or ends an outage, during which every call is answered with 503.
    pub fn set_outage(&self, on: bool) {
        self.shared.set_outage(on);
    }

    /// Sets the extra latency of every call.
    pub fn set_slowness(&self, slowness: Duration) {
        self.shared.lock().faults.slowness = slowness;
    }

    /// Applies the next `count` writes but closes their connections without a response.
    pub fn lose_answers(&self, count: u32) {
        self.shared.lock().faults.lost_answers = count;
    }

    /// Returns the numbers of calls so far.
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }

    /// Adds or replaces a VM in the list after the lag.
    pub fn set_vm(&self, vm: Vm) {
        let name = vm.name.clone();
        self.shared.lock().vms.set(&name, Some(vm));
    }

    /// Marks a VM as leaving after the lag.
    pub fn leave_vm(&self, name: &str) {
        self.shared.lock().vms.mark_leaving(name);
    }

    /// Removes a VM from the list after the lag.
    pub fn remove_vm(&self, name: &str) {
        self.shared.lock().vms.set(name, None);
    }

    /// Returns the objects of a kind, regardless of injected faults.
    pub fn list(&self, kind: &str) -> List {
        self.shared.lock().store.list(kind)
    }

    /// Writes an object unconditionally, regardless of injected faults, and returns its version.
    pub fn put(&self, kind: &str, name: &str, value: Value) -> u64 {
        let version = self.shared.lock().store.put(kind, name, value, Condition::None);
        self.shared.wake();
        version.unwrap_or_default()
    }
}
