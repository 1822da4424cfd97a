use kumquattiller_dialect::engine;
use kumquattiller_dialect::engine::Command;
use kumquattiller_dialect::engine::State;

use crate::Fencing;
use crate::executor::Number;
use crate::executor::Order;
use crate::executor::Refusal;
use crate::executor::Report;
use crate::plan::Target;

/// Carries out orders on one engine.
///
/// It takes no order until it has read the lease from the store: what it had carried out before
/// a restart it no longer knows. It gives one command at a time, so that on engines that ignore
/// fencing numbers an older command is over before a newer one begins.
#[derive(Debug, Default)]
pub struct Executor {
    confirmed: bool,
    highest: Number,
    ordered: Option<Order>,
    /// Incarnation of the engine on which the target was met.
    met: Option<u64>,
    busy: bool,
}

impl Executor {
    /// Makes an executor that has to read the lease first.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether the lease was read since the start.
    pub const fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Notes the lease's fencing number as read from the store.
    pub fn confirm(&mut self, fencing: Fencing) {
        self.confirmed = true;
        self.raise(Number { fencing, sequence: 0 });
    }

    /// Takes an order.
    ///
    /// # Errors
    ///
    /// Fails when a higher number was seen, or the lease was not read yet.
    pub fn order(&mut self, order: Order) -> Result<(), Refusal> {
        if !self.confirmed {
            return Err(Refusal::Unconfirmed);
        }
        if order.number < self.highest {
            return Err(Refusal::Old { highest: self.highest.fencing });
        }
        self.raise(order.number);
        if self.ordered.as_ref().is_none_or(|ordered| ordered.target != order.target) {
            self.met = None;
        }
        self.ordered = Some(order);
        Ok(())
    }

    /// Returns the highest number seen.
    pub const fn highest(&self) -> Number {
        self.highest
    }

    /// Compares the engine's state with what is ordered.
    ///
    /// After an order was given, nothing follows until [`Self::done`].
    pub fn observe(&mut self, state: &State) -> Report {
        let Some(ordered) = self.ordered.as_ref().filter(|_| !self.busy) else {
            return Report::default();
        };
        let Some(command) = next_command(&ordered.target, state) else {
            self.met = Some(state.incarnation);
            return Report::default();
        };
        let drifted = self.met == Some(state.incarnation);
        self.met = None;
        self.busy = true;
        let order = engine::Order { fencing: ordered.number.fencing.get(), command };
        Report { order: Some(order), drifted }
    }

    /// Notes that the engine answered the last order, or that its answer is lost.
    pub const fn done(&mut self) {
        self.busy = false;
    }

    /// Notes that the engine refused the last order's number as old.
    pub fn superseded(&mut self, engine: Fencing) {
        self.busy = false;
        if engine > self.highest.fencing {
            self.raise(Number { fencing: engine, sequence: 0 });
            self.ordered = None;
        }
    }

    fn raise(&mut self, number: Number) {
        if number.fencing > self.highest.fencing {
            self.ordered = None;
            self.met = None;
        }
        self.highest = self.highest.max(number);
    }
}

/// Returns the first command that leads from `state` to `target`.
fn next_command(target: &Target, state: &State) -> Option<Command> {
    let present = Target::of(state);
    if let Some(model) = target.models.difference(&present.models).next() {
        return Some(Command::LoadModel(model.clone()));
    }
    if let Some(adapter) = target.adapters.difference(&present.adapters).next() {
        return Some(Command::LoadAdapter(adapter.clone()));
    }
    if let Some(adapter) = present.adapters.difference(&target.adapters).next() {
        return Some(Command::UnloadAdapter { name: adapter.name.clone() });
    }
    if let Some(model) = present.models.difference(&target.models).next() {
        return Some(Command::UnloadModel { name: model.name.clone() });
    }
    (present.role != target.role).then_some(Command::SetRole { role: target.role })
}
