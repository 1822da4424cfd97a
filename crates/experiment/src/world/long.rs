//! Prompts larger than an engine in a run.

use crate::world::Result;
use crate::world::World;

/// Reservations in progress.
#[derive(Debug, Default)]
pub(super) struct Book {}

impl World {
    /// Tells whether no engine holds the request.
    pub(super) fn is_larger_than_an_engine(&self, job: usize) -> bool {
        let limits = self.sites[0].gate.limits();
        let room = limits.capacity.saturating_sub(limits.short_reserve);
        self.policy.has_gate() && self.jobs[job].footprint() > room
    }

    pub(super) fn begin_long(&mut self, job: usize) {
        self.finish(job, Result::Refused);
    }

    pub(super) fn advance_long(&mut self, _job: usize) {}

    pub(super) fn granted_long(&mut self, _job: usize, _runner: usize) -> bool {
        false
    }

    pub(super) fn refused_long(&mut self, _job: usize, _runner: usize) -> bool {
        false
    }

    pub(super) fn release_long(&mut self, _job: usize) {}

    pub(super) fn died_long(&mut self, _runner: usize) {}
}
