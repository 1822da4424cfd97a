use kumquattiller_base::time::Moment;

use crate::Member;
use crate::State;

/// A member with the local state of its failure detection and dissemination.
#[derive(Debug, Clone)]
pub struct Entry {
    pub member: Member,
    /// When this daemon recorded its current state.
    pub since: Moment,
    /// Number of messages that still carry the entry as a recent update.
    pub sends_left: u32,
    /// When the earliest heartbeat without a reply was sent to it.
    pub unanswered_since: Option<Moment>,
}

impl Entry {
    pub const fn new(member: Member, now: Moment, sends_left: u32) -> Self {
        Self { member, since: now, sends_left, unanswered_since: None }
    }

    /// Replaces the member by a newer version.
    pub fn update(&mut self, newer: Member, now: Moment, sends_left: u32) {
        self.member = newer;
        self.since = now;
        self.sends_left = sends_left;
    }

    /// Changes the state of the member without changing its incarnation.
    pub const fn set_state(&mut self, state: State, now: Moment, sends_left: u32) {
        self.member.state = state;
        self.since = now;
        self.sends_left = sends_left;
    }
}
