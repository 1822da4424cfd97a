//! The runners of one service as an entry daemon sees them.
//!
//! The view is late: the last [`Load`] of each runner has an age, and what this daemon sent since
//! then is added to it. The view is also bounded; see [`crate::subset`].

mod distance;
mod runner;

use std::collections::HashMap;

use kumquattiller_base::place::Zone;
use kumquattiller_base::runner::Id;
use kumquattiller_base::time::Moment;

use crate::load::Load;
use crate::request::Request;

pub use distance::Distance;
pub use runner::Runner;

/// Runners of one service.
#[derive(Debug, Clone, Default)]
pub struct Table {
    runners: Vec<Runner>,
    slots: HashMap<Id, usize>,
}

impl Table {
    /// Adds a runner, or takes over its changed place.
    pub fn insert(&mut self, id: Id, zone: Zone, distance: Distance) {
        if let Some(&slot) = self.slots.get(&id) {
            self.runners[slot].zone = zone;
            self.runners[slot].distance = distance;
            return;
        }
        self.slots.insert(id.clone(), self.runners.len());
        self.runners.push(Runner::new(id, zone, distance));
        self.rank();
    }

    /// Removes a runner.
    pub fn remove(&mut self, id: &Id) {
        let Some(slot) = self.slots.remove(id) else {
            return;
        };
        self.runners.swap_remove(slot);
        if let Some(moved) = self.runners.get(slot) {
            self.slots.insert(moved.id.clone(), slot);
        }
        self.rank();
    }

    /// Takes in a report; what was sent before it counts as included.
    pub fn report(&mut self, id: &Id, load: Load, now: Moment) {
        if let Some(runner) = self.get_mut(id) {
            runner.report(load, now);
        }
    }

    /// Marks whether a runner is reachable.
    pub fn set_reachable(&mut self, id: &Id, reachable: bool) {
        if let Some(runner) = self.get_mut(id) {
            runner.reachable = reachable;
        }
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, id: &Id, request: &Request<'_>) {
        if let Some(runner) = self.get_mut(id) {
            runner.sent(request);
        }
    }

    /// Records that a request ended or was refused.
    pub fn finished(&mut self, id: &Id) {
        if let Some(runner) = self.get_mut(id) {
            runner.outstanding = runner.outstanding.saturating_sub(1);
        }
    }

    /// Returns a runner.
    pub fn get(&self, id: &Id) -> Option<&Runner> {
        self.slots.get(id).map(|&slot| &self.runners[slot])
    }

    /// Returns the place of a runner in [`Table::runners`].
    pub fn slot(&self, id: &Id) -> Option<usize> {
        self.slots.get(id).copied()
    }

    /// Returns the runners.
    pub fn runners(&self) -> &[Runner] {
        &self.runners
    }

    /// Returns the number of runners.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Tells whether the table has no runner.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    /// Orders the runners by their hashes.
    fn rank(&mut self) {
        let mut order: Vec<usize> = (0..self.runners.len()).collect();
        order.sort_unstable_by_key(|&slot| self.runners[slot].hash);
        for (rank, slot) in order.into_iter().enumerate() {
            self.runners[slot].rank = rank;
        }
    }

    fn get_mut(&mut self, id: &Id) -> Option<&mut Runner> {
        self.slots.get(id).map(|&slot| &mut self.runners[slot])
    }
}
