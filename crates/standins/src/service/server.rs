use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use crate::host::Host;
use crate::service::Posting;
use crate::service::Settings;
use crate::service::ledger::Ledger;
use crate::service::routes;

/// A running plain service.
pub struct Server {
    host: Arc<Host>,
    ledger: Arc<Mutex<Ledger>>,
}

impl Server {
    /// Starts a plain service.
    ///
    /// # Panics
    ///
    /// Panics when the address cannot be bound.
    pub fn start(settings: Settings) -> Self {
        let ledger = Ledger { delay: settings.delay, ..Ledger::default() };
        let ledger = Arc::new(Mutex::new(ledger));
        let counted = Arc::clone(&ledger);
        let host = Host::start(settings.address, move |host| {
            let marker = settings.crash_marker.clone();
            routes::endpoint(routes::Shared::new(Arc::clone(&counted), marker, host))
        });
        Self { host, ledger }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.host.url()
    }

    /// Tells whether the service runs.
    pub fn is_running(&self) -> bool {
        self.host.is_running()
    }

    /// Drops the listener and every connection; the counts stay.
    pub fn kill(&self) {
        self.host.kill();
    }

    /// Starts the service again on the same port.
    pub fn restart(&self) {
        self.host.restart();
    }

    /// Sets the time that each call takes.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Returns how often each posting was executed.
    pub fn executions(&self) -> BTreeMap<Posting, u64> {
        self.lock().executions.clone()
    }

    /// Returns how often a posting with this body was executed.
    pub fn executions_of(&self, body: &str) -> u64 {
        let ledger = self.lock();
        ledger.executions.iter().filter(|(posting, _)| posting.body == body).map(|(_, n)| n).sum()
    }

    /// Returns how many lookups were answered.
    pub fn lookups(&self) -> u64 {
        self.lock().lookups
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no thread panicked")
    }
}
