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

/// The state of a runner, as known from its link.
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
    subscribers: HashMap<Attempt, mpsc::UnboundedSender<Reply>>,
}

impl Remote {
    /// Creates the state of a runner that has no link yet.
    pub fn new(runner: register::Runner) -> Self {
        Self {
            runner,
            removed: CancellationToken::new(),
            dialed: AtomicBool::new(false),
            state: Mutex::default(),
        }
    }

    /// Returns the runner's entry in the register.
    pub const fn runner(&self) -> &register::Runner {
        &self.runner
    }

    /// Returns the token that is cancelled when the runner leaves the register.
    pub const fn removed(&self) -> &CancellationToken {
        &self.removed
    }

    /// Records that a connection was attempted, whether it succeeded or not.
    pub fn set_dialed(&self) {
        self.dialed.store(true, Ordering::SeqCst);
    }

    /// Returns whether a connection was attempted.
    pub fn is_dialed(&self) -> bool {
        self.dialed.load(Ordering::SeqCst)
    }

    /// Returns the sender of the link if it is open.
    pub fn sender(&self) -> Option<Sender> {
        self.lock().sender.clone()
    }

    /// Returns the incarnation of the runner process.
    pub fn incarnation(&self) -> u64 {
        self.lock().incarnation
    }

    /// Returns the latest load report and the time of its arrival.
    pub fn load(&self) -> (Load, Moment) {
        let state = self.lock();
        (state.load.clone(), state.load_at)
    }

    /// Records an open link.
    pub fn set_connected(&self, sender: Sender, incarnation: u64, load: Load, now: Moment) {
        let mut state = self.lock();
        state.sender = Some(sender);
        state.incarnation = incarnation;
        state.load = load;
        state.load_at = now;
    }

    /// Records that the link closed and ends all subscriptions.
    pub fn set_disconnected(&self) {
        let mut state = self.lock();
        state.sender = None;
        state.subscribers.clear();
    }

    /// Stores a load report unless a later one arrived before it.
    pub fn update_load(&self, load: Load, now: Moment) {
        let mut state = self.lock();
        if load.sequence >= state.load.sequence {
            state.load = load;
            state.load_at = now;
        }
    }

    /// Subscribes to the replies to an attempt.
    pub fn subscribe(&self, attempt: Attempt) -> mpsc::UnboundedReceiver<Reply> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().subscribers.insert(attempt, sender);
        receiver
    }

    /// Ends the subscription to the replies to an attempt.
    pub fn unsubscribe(&self, attempt: Attempt) {
        self.lock().subscribers.remove(&attempt);
    }

    /// Delivers a reply to the attempt's subscriber; returns false without one.
    pub fn deliver(&self, attempt: Attempt, reply: Reply) -> bool {
        let state = self.lock();
        state.subscribers.get(&attempt).is_some_and(|subscriber| subscriber.send(reply).is_ok())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
