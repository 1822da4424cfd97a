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
use crate::engine::routes;
use crate::engine::simulator::Simulator;
use crate::engine::steps::Outcome;
use crate::host::Host;

/// Maximum delay that later steps catch up on; any further delay is dropped.
const MAX_STEP_LAG: Duration = Duration::from_millis(200);

/// State shared by the routes of one incarnation.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) simulator: Arc<Mutex<Simulator>>,
    /// Notified when there may be work for the engine.
    pub(super) work_available: Arc<Notify>,
    /// The host that a crash kills.
    pub(super) host: Weak<Host>,
}

impl Shared {
    /// Locks the simulator.
    pub(super) fn lock(&self) -> MutexGuard<'_, Simulator> {
        self.simulator.lock().expect("no thread panicked")
    }

    /// Kills the engine from a separate thread and restarts it if the settings say so.
    pub(super) fn spawn_crash(&self) {
        let host = self.host.clone();
        let restart_after = self.lock().settings.restart_after;
        std::thread::spawn(move || kill_and_restart(&host, restart_after));
    }

    /// Runs steps until a crash, and sleeps while there is no work.
    async fn run_steps(self) {
        let mut next = Instant::now();
        loop {
            let step = self.lock().begin_step();
            let Some(step) = step else {
                self.work_available.notified().await;
                next = Instant::now();
                continue;
            };
            next = (next + step).max(Instant::now() - MAX_STEP_LAG);
            tokio::time::sleep_until(next).await;
            let outcome = self.lock().finish_step();
            if outcome == Outcome::Crashed {
                self.spawn_crash();
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Kills a host and restarts it after `restart_after`, if set.
fn kill_and_restart(host: &Weak<Host>, restart_after: Option<Duration>) {
    if let Some(host) = host.upgrade() {
        host.kill();
    }
    let Some(restart_after) = restart_after else { return };
    std::thread::sleep(restart_after);
    if let Some(host) = host.upgrade() {
        host.restart();
    }
}

/// An engine server.
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
        let current_slot = Arc::clone(&current);
        let host = Host::start(settings.address, move |host| {
            let simulator = Simulator::new(settings.clone(), host.url(), host.incarnation());
            let shared = Shared {
                simulator: Arc::new(Mutex::new(simulator)),
                work_available: Arc::new(Notify::new()),
                host: Arc::downgrade(host),
            };
            tokio::spawn(shared.clone().run_steps());
            *current_slot.lock().expect("no thread panicked") = Some(shared.clone());
            routes::endpoint(shared)
        });
        Self { host, current }
    }

    /// Returns the address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.host.url()
    }

    /// Returns the number of the latest start, counted from 1.
    pub fn incarnation(&self) -> u64 {
        self.host.incarnation()
    }

    /// Returns whether the engine is running.
    pub fn is_running(&self) -> bool {
        self.host.is_running()
    }

    /// Drops the listener, all connections and all state, like the end of a process.
    pub fn kill(&self) {
        self.host.kill();
    }

    /// Starts the next incarnation on the same port, with empty state.
    pub fn restart(&self) {
        self.host.restart();
    }

    /// Returns what holds KV memory in the latest incarnation.
    pub fn holdings(&self) -> Holdings {
        self.with_simulator(|simulator| simulator.holdings())
    }

    /// Returns the KV memory that streams and handles hold, in tokens.
    pub fn kv_held(&self) -> u64 {
        self.with_simulator(|simulator| simulator.held_tokens())
    }

    /// Returns the state of the latest incarnation.
    pub fn state(&self) -> State {
        self.with_simulator(|simulator| simulator.state.clone())
    }

    /// Changes the state directly, without an order.
    pub fn change_state(&self, change: impl FnOnce(&mut State)) {
        self.with_simulator(|simulator| change(&mut simulator.state));
    }

    /// Returns the number of streams that the latest incarnation started.
    pub fn started(&self) -> u64 {
        self.with_simulator(|simulator| simulator.started)
    }

    /// Returns the number of loads from the weight store in the latest incarnation.
    pub fn loads(&self) -> u64 {
        self.with_simulator(|simulator| simulator.loads)
    }

    fn with_simulator<T>(&self, access: impl FnOnce(&mut Simulator) -> T) -> T {
        let shared = self.current.lock().expect("no thread panicked").clone();
        let shared = shared.expect("a started server has a simulator");
        access(&mut shared.lock())
    }
}
