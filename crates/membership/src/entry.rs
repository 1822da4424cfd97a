use kumquattiller_base::time::Moment;

use crate::Member;
use crate::State;

/// A member and what this daemon does about it.
#[derive(Debug, Clone)]
pub struct Entry {
    pub member: Member,
    /// When it got its present state here.
    pub since: Moment,
    /// Messages that still carry it as news.
    pub sends_left: u32,
    /// When the first heartbeat was sent to it that is not answered.
    pub asked_at: Option<Moment>,
}

impl Entry {
    pub const fn new(member: Member, now: Moment, sends: u32) -> Self {
        Self { member, since: now, sends_left: sends, asked_at: None }
    }

    /// Takes later news.
    pub fn update(&mut self, news: Member, now: Moment, sends: u32) {
        self.member = news;
        self.since = now;
        self.sends_left = sends;
    }

    /// Changes the state at the present incarnation.
    pub const fn turn(&mut self, state: State, now: Moment, sends: u32) {
        self.member.state = state;
        self.since = now;
        self.sends_left = sends;
    }
}
