use kumquattiller_dialect::engine;
use kumquattiller_dialect::engine::Command;
use kumquattiller_dialect::engine::State;

use crate::Fencing;
use crate::executor::Number;
use crate::executor::Order;
use crate::executor::Reconciliation;
use crate::executor::Refusal;
use crate::plan::Target;

/// Executes orders on one engine.
///
/// It accepts no orders until the lease was read from the store, because the highest number seen is
/// not kept across a restart of the process. It issues one command at a time, so that even on
/// engines that ignore fencing tokens, an older command ends before a newer one starts.
#[derive(Debug, Default)]
pub struct Executor {
    /// Whether the lease was read since the start of the process.
    lease_confirmed: bool,
    highest: Number,
    order: Option<Order>,
    /// Incarnation of the engine that last reached the target of the order.
    converged_incarnation: Option<u64>,
    command_in_flight: bool,
}

impl Executor {
    /// Creates an executor that accepts no orders until [`Self::confirm_lease`] is called.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the lease was read since the start of the process.
    pub const fn is_lease_confirmed(&self) -> bool {
        self.lease_confirmed
    }

    /// Records the fencing token of the lease as read from the store.
    pub fn confirm_lease(&mut self, fencing: Fencing) {
        self.lease_confirmed = true;
        self.raise_highest(Number { fencing, sequence: 0 });
    }

    /// Accepts an order and replaces the previous one.
    ///
    /// # Errors
    ///
    /// Returns an error if a higher number was seen or if the lease was not read yet.
    pub fn accept(&mut self, order: Order) -> Result<(), Refusal> {
        if !self.lease_confirmed {
            return Err(Refusal::Unconfirmed);
        }
        if order.number < self.highest {
            return Err(Refusal::Old { highest: self.highest.fencing });
        }
        self.raise_highest(order.number);
        if self.order.as_ref().is_none_or(|current| current.target != order.target) {
            self.converged_incarnation = None;
        }
        self.order = Some(order);
        Ok(())
    }

    /// Returns the highest order number seen.
    pub const fn highest(&self) -> Number {
        self.highest
    }

    /// Compares the engine's state with the current order and returns the next command.
    ///
    /// After a command was returned, no further one is returned until [`Self::command_finished`] or
    /// [`Self::command_superseded`] is called.
    pub fn reconcile(&mut self, state: &State) -> Reconciliation {
        let Some(current) = self.order.as_ref().filter(|_| !self.command_in_flight) else {
            return Reconciliation::default();
        };
        let Some(command) = next_command(&current.target, state) else {
            self.converged_incarnation = Some(state.incarnation);
            return Reconciliation::default();
        };
        let drifted = self.converged_incarnation == Some(state.incarnation);
        self.converged_incarnation = None;
        self.command_in_flight = true;
        let order = engine::Order { fencing: current.number.fencing.get(), command };
        Reconciliation { order: Some(order), drifted }
    }

    /// Records that the engine responded to the last command or that its response was lost.
    pub const fn command_finished(&mut self) {
        self.command_in_flight = false;
    }

    /// Records that the engine rejected the fencing token of the last command as old.
    ///
    /// `newest` is the highest fencing token that the engine has seen.
    pub fn command_superseded(&mut self, newest: Fencing) {
        self.command_in_flight = false;
        if newest > self.highest.fencing {
            self.raise_highest(Number { fencing: newest, sequence: 0 });
            self.order = None;
        }
    }

    /// Raises the highest number seen; a newer fencing token discards the current order.
    fn raise_highest(&mut self, number: Number) {
        if number.fencing > self.highest.fencing {
            self.order = None;
            self.converged_incarnation = None;
        }
        self.highest = self.highest.max(number);
    }
}

/// Returns the first command that leads from `state` to `target`.
fn next_command(target: &Target, state: &State) -> Option<Command> {
    let current = Target::of(state);
    if let Some(model) = target.models.difference(&current.models).next() {
        return Some(Command::LoadModel(model.clone()));
    }
    if let Some(adapter) = target.adapters.difference(&current.adapters).next() {
        return Some(Command::LoadAdapter(adapter.clone()));
    }
    if let Some(adapter) = current.adapters.difference(&target.adapters).next() {
        return Some(Command::UnloadAdapter { name: adapter.name.clone() });
    }
    if let Some(model) = current.models.difference(&target.models).next() {
        return Some(Command::UnloadModel { name: model.name.clone() });
    }
    (current.role != target.role).then_some(Command::SetRole { role: target.role })
}
