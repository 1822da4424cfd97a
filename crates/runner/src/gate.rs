//! When requests start on the engine: the gate of the routing package, shared by all links.

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

/// Time between tokens while prompts are computed beside, until it is learnt.
const BUSY_STEP: Duration = Duration::from_millis(40);

/// When to try again a request whose place was lost.
const GONE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a held request learns.
type Answer = Result<u32, Refusal>;

/// The gate before the engine; clones share one state.
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
    next: u128,
    waiting: HashMap<request::Id, oneshot::Sender<Answer>>,
}

/// The place of one request at the gate, admitted or held; dropping it gives the place up.
#[derive(Debug)]
pub struct Place {
    held: Option<(Arc<Shared>, request::Id)>,
    priority: u32,
    later: Option<oneshot::Receiver<Answer>>,
}

impl Gate {
    /// Opens the gate of an engine.
    pub fn new(capacity: Tokens, clock: Clock) -> Self {
        let limits = Limits::new(capacity, Pace::default(), BUSY_STEP);
        let gate = admission::Gate::new(limits);
        let state = Mutex::new(State { gate, next: 0, waiting: HashMap::new() });
        Self { shared: Arc::new(Shared { clock, state }) }
    }

    /// Asks for a place.
    ///
    /// The item's id is replaced by one of the gate's own, so that attempts of one request do not
    /// meet.
    ///
    /// # Errors
    ///
    /// Fails when the gate refuses the request at once.
    pub fn enter(&self, item: Item) -> Result<Place, Refusal> {
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
        Ok(Place { held: Some((Arc::clone(&self.shared), entry)), priority, later })
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

impl Place {
    /// Makes the place of a request to a backend server without a gate.
    pub const fn free() -> Self {
        Self { held: None, priority: 0, later: None }
    }

    /// Waits until the request may start.
    ///
    /// # Errors
    ///
    /// Fails when the gate refuses the request after all; nothing was started.
    pub async fn wait(&mut self) -> Result<(), Refusal> {
        if let Some(later) = &mut self.later {
            let gone = Refusal { kind: error::Kind::Stopping, retry_after: GONE_RETRY_AFTER };
            self.priority = later.await.unwrap_or(Err(gone))?;
            self.later = None;
        }
        Ok(())
    }

    /// Tells whether the request may start now.
    pub const fn is_ready(&self) -> bool {
        self.later.is_none()
    }

    /// Returns the engine priority of an admitted request; lower runs first.
    pub const fn priority(&self) -> u32 {
        self.priority
    }

    /// Records that the prompt is computed.
    pub fn prefilled(&self) {
        if let Some((shared, entry)) = &self.held {
            let now = shared.clock.now();
            shared.change(|gate| gate.prefilled(*entry, now));
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some((shared, entry)) = self.held.take() {
            let now = shared.clock.now();
            shared.lock().waiting.remove(&entry);
            shared.change(|gate| gate.finished(entry, now));
        }
    }
}

impl Shared {
    /// Changes the gate and tells those who wait what it decided.
    fn change(&self, change: impl FnOnce(&mut admission::Gate) -> Vec<Action>) {
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
