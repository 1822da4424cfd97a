//! An entry daemon's view of the runners of one service.
//!
//! The view is stale: it consists of the last reported [`Load`] of each runner and of what this
//! daemon has sent since. It is also partial; see [`crate::subset`].

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

/// Runners of one service, indexed by id.
#[derive(Debug, Clone, Default)]
pub struct Table {
    runners: Vec<Runner>,
    slots: HashMap<Id, usize>,
}

impl Table {
    /// Adds a runner, or updates its zone and distance.
    pub fn insert(&mut self, id: Id, zone: Zone, distance: Distance) {
        if let Some(&slot) = self.slots.get(&id) {
            self.runners[slot].zone = zone;
            self.runners[slot].distance = distance;
            return;
        }
        self.slots.insert(id.clone(), self.runners.len());
        self.runners.push(Runner::new(id, zone, distance));
        self.update_ranks();
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
        self.update_ranks();
    }

    /// Records a load report, and resets the counts of requests sent since the previous one because
    /// the report is assumed to include them.
    pub fn report(&mut self, id: &Id, load: Load, now: Moment) {
        if let Some(runner) = self.get_mut(id) {
            runner.report(load, now);
        }
    }

    /// Records whether a link to a runner is open.
    pub fn set_reachable(&mut self, id: &Id, reachable: bool) {
        if let Some(runner) = self.get_mut(id) {
            runner.reachable = reachable;
        }
    }

    /// Records that this daemon sent a request to a runner.
    pub fn sent(&mut self, id: &Id, request: &Request<'_>) {
        if let Some(runner) = self.get_mut(id) {
            runner.sent(request);
        }
    }

    /// Records that a request at a runner ended or was refused.
    pub fn finished(&mut self, id: &Id) {
        if let Some(runner) = self.get_mut(id) {
            runner.outstanding = runner.outstanding.saturating_sub(1);
        }
    }

    /// Returns the runner with the given id.
    pub fn get(&self, id: &Id) -> Option<&Runner> {
        self.slots.get(id).map(|&slot| &self.runners[slot])
    }

    /// Returns the index of a runner in [`Table::runners`].
    pub fn slot(&self, id: &Id) -> Option<usize> {
        self.slots.get(id).copied()
    }

    /// Returns the runners in slot order.
    pub fn runners(&self) -> &[Runner] {
        &self.runners
    }

    /// Returns the number of runners.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Returns whether the table has no runners.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    /// Sets the rank of each runner from the order of the hashes.
    fn update_ranks(&mut self) {
        let mut order: Vec<usize> = (0..self.runners.len()).collect();
        order.sort_unstable_by_key(|&slot| self.runners[slot].hash);
        for (position, slot) in order.into_iter().enumerate() {
            self.runners[slot].rank = position;
        }
    }

    fn get_mut(&mut self, id: &Id) -> Option<&mut Runner> {
        self.slots.get(id).map(|&slot| &mut self.runners[slot])
    }
}
