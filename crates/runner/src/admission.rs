//! Admission of requests against the engine's memory, by the gate of the routing package.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use kumquattiller_base::request;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_link::Clock;
use kumquattiller_routing::admission::Action;
use kumquattiller_routing::admission::Gate;
use kumquattiller_routing::admission::Item;
use kumquattiller_routing::admission::Limits;
use kumquattiller_routing::admission::Refusal;
use kumquattiller_routing::admission::Verdict;
use kumquattiller_routing::load::Load;
use kumquattiller_routing::pace::Pace;
use tokio::sync::oneshot;

/// Time between tokens while prompts are computed beside, until it is learnt.
const BUSY_STEP: Duration = Duration::from_millis(40);

/// The memory of an engine and what it is promised to; clones share one state.
#[derive(Debug, Clone)]
pub struct Account {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    gate: Gate,
    next: u128,
    waiting: HashMap<request::Id, oneshot::Sender<Result<u32, Refusal>>>,
}

/// Tokens promised to one request, at once or later; they are free again when it is dropped.
#[derive(Debug)]
pub struct Promise {
    shared: Arc<Shared>,
    entry: request::Id,
    priority: u32,
    later: Option<oneshot::Receiver<Result<u32, Refusal>>>,
}

impl Account {
    /// Opens the account of an engine.
    pub fn new(capacity: Tokens, clock: Clock) -> Self {
        let limits = Limits::new(capacity, Pace::default(), BUSY_STEP);
        let gate = Gate::new(limits);
        let state = Mutex::new(State { gate, next: 0, waiting: HashMap::new() });
        Self { shared: Arc::new(Shared { clock, state }) }
    }

    /// Asks for the memory of a request.
    ///
    /// The item's id is replaced by one of the account's own, so that attempts of one request do
    /// not meet.
    ///
    /// # Errors
    ///
    /// Fails when the gate refuses the request at once.
    pub fn promise(&self, item: Item) -> Result<Promise, Refusal> {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        state.next += 1;
        let entry = request::Id::from_u128(state.next);
        let (priority, later) = match state.gate.arrive(Item { request: entry, ..item }, now) {
            Verdict::Admit { priority } => (priority, None),
            Verdict::Refuse(refusal) => return Err(refusal),
            Verdict::Hold => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(entry, sender);
                (0, Some(receiver))
            }
        };
        drop(state);
        Ok(Promise { shared: Arc::clone(&self.shared), entry, priority, later })
    }

    /// Admits and refuses what waits, as time has passed.
    pub fn advance(&self) {
        let now = self.shared.clock.now();
        self.shared.change(|gate| gate.advance(now));
    }

    /// Returns the load to report.
    pub fn load(&self) -> Load {
        self.shared.lock().gate.load()
    }
}

impl Promise {
    /// Waits until the request may start, and returns its engine priority.
    ///
    /// # Errors
    ///
    /// Fails when the gate refuses the request after all; nothing was started.
    pub async fn wait(&mut self) -> Result<u32, Refusal> {
        if let Some(later) = &mut self.later {
            let gone = Refusal {
                kind: kumquattiller_base::error::Kind::Stopping,
                retry_after: Duration::from_secs(1),
            };
            self.priority = later.await.unwrap_or(Err(gone))?;
            self.later = None;
        }
        Ok(self.priority)
    }

    /// Tells whether the request may start now.
    pub const fn is_ready(&self) -> bool {
        self.later.is_none()
    }

    /// Records that the prompt is computed.
    pub fn prefilled(&self) {
        let now = self.shared.clock.now();
        self.shared.change(|gate| gate.prefilled(self.entry, now));
    }
}

impl Drop for Promise {
    fn drop(&mut self) {
        let now: Moment = self.shared.clock.now();
        self.shared.lock().waiting.remove(&self.entry);
        self.shared.change(|gate| gate.finished(self.entry, now));
    }
}

impl Shared {
    /// Changes the gate and tells those who wait what it decided.
    fn change(&self, change: impl FnOnce(&mut Gate) -> Vec<Action>) {
        let mut state = self.lock();
        for action in change(&mut state.gate) {
            let (request, answer) = match action {
                Action::Admit { request, priority } => (request, Ok(priority)),
                Action::Refuse { request, refusal } => (request, Err(refusal)),
                Action::Expire { .. } => continue,
            };
            if let Some(sender) = state.waiting.remove(&request) {
                let _ = sender.send(answer);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
