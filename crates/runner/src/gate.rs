//! Decides when requests start on the engine.
//!
//! Wraps the admission gate of the routing package so that all links of the process share it. A
//! request that does not fit yet waits here until the gate admits or refuses it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use kumquattiller_base::error;
use kumquattiller_base::request;
use kumquattiller_base::size::Tokens;
use kumquattiller_link::Clock;
use kumquattiller_routing::admission;
use kumquattiller_routing::admission::Action;
use kumquattiller_routing::admission::Item;
use kumquattiller_routing::admission::Limits;
use kumquattiller_routing::admission::Refusal;
use kumquattiller_routing::admission::Verdict;
use kumquattiller_routing::load::Load;
use kumquattiller_routing::pace::Pace;
use tokio::sync::oneshot;

/// Time between tokens while the engine also computes prompts, until the gate has measured it.
const INITIAL_BUSY_STEP: Duration = Duration::from_millis(40);

/// Retry delay for a waiting request whose gate went away without a decision.
const GATE_LOST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decision about a waiting request: its engine priority, or why it is refused.
type Decision = Result<u32, Refusal>;

/// Admission gate of the engine; clones share one state.
#[derive(Debug, Clone)]
pub struct Gate {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    gate: admission::Gate,
    last_key: u128,
    waiting: HashMap<request::Id, oneshot::Sender<Decision>>,
}

/// Permit of one request to run on the engine, granted or still pending.
///
/// Dropping it frees the request's capacity, or withdraws the request if it is still waiting.
#[derive(Debug)]
pub struct Permit {
    /// The gate and the request's key in it; `None` for a request that needs no permit.
    registration: Option<(Arc<Shared>, request::Id)>,
    priority: u32,
    /// Receives the decision; `None` once the permit is granted.
    pending: Option<oneshot::Receiver<Decision>>,
}

impl Gate {
    /// Creates the gate of an idle engine with `capacity` tokens of memory.
    pub fn new(capacity: Tokens, clock: Clock) -> Self {
        let limits = Limits::new(capacity, Pace::default(), INITIAL_BUSY_STEP);
        let gate = admission::Gate::new(limits);
        let state = Mutex::new(State { gate, last_key: 0, waiting: HashMap::new() });
        Self { shared: Arc::new(Shared { clock, state }) }
    }

    /// Requests a permit, which may be pending.
    ///
    /// Replaces the item's request id by a key that is unique in this gate, so that two attempts of
    /// one request do not collide.
    ///
    /// # Errors
    ///
    /// Fails when the gate refuses the request at once.
    pub fn request_permit(&self, item: Item) -> Result<Permit, Refusal> {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        state.last_key += 1;
        let key = request::Id::from_u128(state.last_key);
        let (priority, pending) = match state.gate.arrive(Item { request: key, ..item }, now) {
            Verdict::Admit { priority } => (priority, None),
            Verdict::Refuse(refusal) => return Err(refusal),
            Verdict::Hold => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(key, sender);
                (0, Some(receiver))
            }
        };
        Ok(Permit { registration: Some((Arc::clone(&self.shared), key)), priority, pending })
    }

    /// Admits waiting requests that may start now; refuses those that can no longer end in time.
    pub fn advance(&self) {
        let now = self.shared.clock.now();
        self.shared.update(|gate| gate.advance(now));
    }

    /// Returns the engine load to report to entry daemons.
    pub fn load(&self) -> Load {
        self.shared.lock().gate.load()
    }
}

impl Permit {
    /// Creates the permit of a request that does not pass the gate.
    pub const fn ungated() -> Self {
        Self { registration: None, priority: 0, pending: None }
    }

    /// Waits until the permit is granted.
    ///
    /// # Errors
    ///
    /// Fails when the gate refuses the waiting request; nothing was started.
    pub async fn wait_until_granted(&mut self) -> Result<(), Refusal> {
        if let Some(pending) = &mut self.pending {
            let gate_lost =
                Refusal { kind: error::Kind::Stopping, retry_after: GATE_LOST_RETRY_AFTER };
            self.priority = pending.await.unwrap_or(Err(gate_lost))?;
            self.pending = None;
        }
        Ok(())
    }

    /// Tells whether the permit is granted, so that the request may start.
    pub const fn is_granted(&self) -> bool {
        self.pending.is_none()
    }

    /// Returns the engine priority of an admitted request; lower runs first.
    pub const fn priority(&self) -> u32 {
        self.priority
    }

    /// Records that the engine has computed the prompt.
    pub fn mark_prefilled(&self) {
        if let Some((shared, key)) = &self.registration {
            let now = shared.clock.now();
            shared.update(|gate| gate.prefilled(*key, now));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some((shared, key)) = self.registration.take() {
            let now = shared.clock.now();
            shared.lock().waiting.remove(&key);
            shared.update(|gate| gate.finished(key, now));
        }
    }
}

impl Shared {
    /// Updates the gate and sends its decisions to the waiting requests.
    fn update(&self, update: impl FnOnce(&mut admission::Gate) -> Vec<Action>) {
        let mut state = self.lock();
        for action in update(&mut state.gate) {
            let (request, decision) = match action {
                Action::Admit { request, priority } => (request, Ok(priority)),
                Action::Refuse { request, refusal } => (request, Err(refusal)),
                Action::Expire { .. } => continue,
            };
            if let Some(sender) = state.waiting.remove(&request) {
                let _ = sender.send(decision);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
