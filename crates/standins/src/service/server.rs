use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use crate::host::Host;
use crate::service::Call;
use crate::service::Settings;
use crate::service::routes;
use crate::service::state::State;

/// A plain service.
pub struct Server {
    host: Arc<Host>,
    state: Arc<Mutex<State>>,
}

impl Server {
    /// Starts a plain service.
    ///
    /// # Panics
    ///
    /// Panics when the address cannot be bound.
    pub fn start(settings: Settings) -> Self {
        let state = State { delay: settings.delay, ..State::default() };
        let state = Arc::new(Mutex::new(state));
        let route_state = Arc::clone(&state);
        let host = Host::start(settings.address, move |host| {
            let crash_marker = settings.crash_marker.clone();
            routes::endpoint(routes::Shared::new(Arc::clone(&route_state), crash_marker, host))
        });
        Self { host, state }
    }

    /// Returns the address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.host.url()
    }

    /// Returns whether the service is running.
    pub fn is_running(&self) -> bool {
        self.host.is_running()
    }

    /// Drops the listener and all connections, and keeps the counts.
    pub fn kill(&self) {
        self.host.kill();
    }

    /// Restarts the service on the same port.
    pub fn restart(&self) {
        self.host.restart();
    }

    /// Sets the delay of each call.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Returns the number of executions of each call.
    pub fn executions(&self) -> BTreeMap<Call, u64> {
        self.lock().executions.clone()
    }

    /// Returns the number of executions of calls with this body.
    pub fn executions_of(&self, body: &str) -> u64 {
        let state = self.lock();
        state.executions.iter().filter(|(call, _)| call.body == body).map(|(_, n)| n).sum()
    }

    /// Returns the number of answered `GET` requests.
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked")
    }
}
