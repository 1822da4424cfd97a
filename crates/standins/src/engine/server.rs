use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;

use kumquattiller_dialect::engine::Holdings;
use kumquattiller_dialect::engine::State;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::engine::Settings;
use crate::engine::machine::Machine;
use crate::engine::routes;
use crate::engine::steps::Outcome;
use crate::host::Host;

/// How late a step may be made up for; what is later is left out.
const MAX_STEP_LAG: Duration = Duration::from_millis(200);

/// What the routes of an incarnation share.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) machine: Arc<Mutex<Machine>>,
    /// Wakes the engine when there may be work.
    pub(super) work: Arc<Notify>,
    /// What a crash ends.
    pub(super) host: Weak<Host>,
}

impl Shared {
    /// Locks the machine.
    pub(super) fn lock(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().expect("no thread panicked")
    }

    /// Ends the engine as the crash marker does.
    pub(super) fn crash(&self) {
        let host = self.host.clone();
        let pause = self.lock().settings.restart_after;
        std::thread::spawn(move || crash(&host, pause));
    }

    /// Works step by step until a crash.
    async fn work(self) {
        let mut next = Instant::now();
        loop {
            let step = self.lock().begin_step();
            let Some(step) = step else {
                self.work.notified().await;
                next = Instant::now();
                continue;
            };
            next = (next + step).max(Instant::now() - MAX_STEP_LAG);
            tokio::time::sleep_until(next).await;
            let outcome = self.lock().finish_step();
            if outcome == Outcome::Crashed {
                self.crash();
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Ends a host at once and starts it again after `pause`.
fn crash(host: &Weak<Host>, pause: Option<Duration>) {
    if let Some(host) = host.upgrade() {
        host.kill();
    }
    let Some(pause) = pause else { return };
    std::thread::sleep(pause);
    if let Some(host) = host.upgrade() {
        host.restart();
    }
}

/// A running engine.
pub struct Server {
    host: Arc<Host>,
    current: Arc<Mutex<Option<Shared>>>,
}

impl Server {
    /// Starts an engine.
    ///
    /// # Panics
    ///
    /// Panics when the address cannot be bound.
    pub fn start(settings: Settings) -> Self {
        let current = Arc::new(Mutex::new(None));
        let slot = Arc::clone(&current);
        let host = Host::start(settings.address, move |host| {
            let machine = Machine::new(settings.clone(), host.url(), host.incarnation());
            let shared = Shared {
                machine: Arc::new(Mutex::new(machine)),
                work: Arc::new(Notify::new()),
                host: Arc::downgrade(host),
            };
            tokio::spawn(shared.clone().work());
            *slot.lock().expect("no thread panicked") = Some(shared.clone());
            routes::endpoint(shared)
        });
        Self { host, current }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.host.url()
    }

    /// Returns the number of the last start, from 1.
    pub fn incarnation(&self) -> u64 {
        self.host.incarnation()
    }

    /// Tells whether the engine runs.
    pub fn is_running(&self) -> bool {
        self.host.is_running()
    }

    /// Drops the listener, every connection and all state, as the end of the process would.
    pub fn kill(&self) {
        self.host.kill();
    }

    /// Starts the next incarnation on the same port, empty.
    pub fn restart(&self) {
        self.host.restart();
    }

    /// Returns what holds KV memory in the last incarnation.
    pub fn holdings(&self) -> Holdings {
        self.with(|machine| machine.holdings())
    }

    /// Returns the KV memory held by streams and handles, in tokens.
    pub fn kv_held(&self) -> u64 {
        self.with(|machine| machine.held())
    }

    /// Returns what the last incarnation has loaded.
    pub fn state(&self) -> State {
        self.with(|machine| machine.state.clone())
    }

    /// Changes what is loaded by hand, past all orders.
    pub fn change_state(&self, change: impl FnOnce(&mut State)) {
        self.with(|machine| change(&mut machine.state));
    }

    /// Returns how many streams were started in the last incarnation.
    pub fn started(&self) -> u64 {
        self.with(|machine| machine.started)
    }

    /// Returns how many loads from the weight store the last incarnation made.
    pub fn loads(&self) -> u64 {
        self.with(|machine| machine.loads)
    }

    fn with<T>(&self, read: impl FnOnce(&mut Machine) -> T) -> T {
        let shared = self.current.lock().expect("no thread panicked").clone();
        let shared = shared.expect("a started server has a machine");
        read(&mut shared.lock())
    }
}
