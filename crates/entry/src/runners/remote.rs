use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use kumquattiller_base::time::Moment;
use kumquattiller_inventory::register;
use kumquattiller_link::Sender;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Load;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::runners::Reply;

/// A runner as this entry daemon sees it.
#[derive(Debug)]
pub struct Remote {
    runner: register::Runner,
    removed: CancellationToken,
    dialed: AtomicBool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    sender: Option<Sender>,
    incarnation: u64,
    load: Load,
    load_at: Moment,
    waiting: HashMap<Attempt, mpsc::UnboundedSender<Reply>>,
}

impl Remote {
    /// Knows a runner that has no link yet.
    pub fn new(runner: register::Runner) -> Self {
        Self {
            runner,
            removed: CancellationToken::new(),
            dialed: AtomicBool::new(false),
            state: Mutex::default(),
        }
    }

    /// Returns the runner's line in the register.
    pub const fn runner(&self) -> &register::Runner {
        &self.runner
    }

    /// Returns the token that is cancelled when the runner leaves the register.
    pub const fn removed(&self) -> &CancellationToken {
        &self.removed
    }

    /// Notes that a link was tried, whether it opened or not.
    pub fn set_dialed(&self) {
        self.dialed.store(true, Ordering::SeqCst);
    }

    /// Tells whether a link was tried.
    pub fn is_dialed(&self) -> bool {
        self.dialed.load(Ordering::SeqCst)
    }

    /// Returns the link's sender when the link is open.
    pub fn sender(&self) -> Option<Sender> {
        self.lock().sender.clone()
    }

    /// Returns the start of the runner's process.
    pub fn incarnation(&self) -> u64 {
        self.lock().incarnation
    }

    /// Returns the last load report and when it came.
    pub fn load(&self) -> (Load, Moment) {
        let state = self.lock();
        (state.load.clone(), state.load_at)
    }

    /// Records an open link.
    pub fn connected(&self, sender: Sender, incarnation: u64, load: Load, now: Moment) {
        let mut state = self.lock();
        state.sender = Some(sender);
        state.incarnation = incarnation;
        state.load = load;
        state.load_at = now;
    }

    /// Records that the link closed; attempts that wait learn it.
    pub fn disconnected(&self) {
        let mut state = self.lock();
        state.sender = None;
        state.waiting.clear();
    }

    /// Takes a load report, unless a later one came before it.
    pub fn report(&self, load: Load, now: Moment) {
        let mut state = self.lock();
        if load.sequence >= state.load.sequence {
            state.load = load;
            state.load_at = now;
        }
    }

    /// Waits for replies to an attempt.
    pub fn wait_for(&self, attempt: Attempt) -> mpsc::UnboundedReceiver<Reply> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().waiting.insert(attempt, sender);
        receiver
    }

    /// Waits no longer for an attempt.
    pub fn forget(&self, attempt: Attempt) {
        self.lock().waiting.remove(&attempt);
    }

    /// Hands a reply to whoever waits; returns false when nobody does.
    pub fn deliver(&self, attempt: Attempt, reply: Reply) -> bool {
        let state = self.lock();
        state.waiting.get(&attempt).is_some_and(|waiting| waiting.send(reply).is_ok())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
