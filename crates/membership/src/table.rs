use std::collections::BTreeMap;

use kumquattiller_base::daemon;
use kumquattiller_base::time::Moment;
use rand::Rng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use crate::Limits;
use crate::Member;
use crate::Message;
use crate::State;
use crate::entry::Entry;

/// Number of messages that carry an update, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 2;

/// The members of an availability zone as seen by one daemon.
#[derive(Debug)]
pub struct Table {
    own: Member,
    limits: Limits,
    others: BTreeMap<daemon::Id, Entry>,
    /// Members to send the next heartbeats to, taken from the end; refilled with all live members
    /// in random order, so that each gets its turn.
    heartbeat_queue: Vec<daemon::Id>,
    next_round: Moment,
    last_round: Option<Moment>,
}

impl Table {
    /// Creates a table that contains only the local daemon.
    pub const fn new(own: Member, limits: Limits) -> Self {
        let others = BTreeMap::new();
        let heartbeat_queue = Vec::new();
        let next_round = Moment::ZERO;
        Self { own, limits, others, heartbeat_queue, next_round, last_round: None }
    }

    /// Returns the entry of the local daemon.
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the live members other than the local daemon, including suspects.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|member| member.state.is_live())
    }

    /// Returns all known members other than the local daemon, including those dead or left.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|entry| &entry.member)
    }

    /// Adds a daemon listed by the platform unless it is already known.
    ///
    /// Because the list may be stale, this does not revive a member known as dead or left.
    pub fn seed(&mut self, member: Member, now: Moment) {
        if member.id != self.own.id {
            self.others.entry(member.id.clone()).or_insert_with(|| Entry::new(member, now, 0));
        }
    }

    /// Processes a received message; returns the reply if the sender expects one.
    ///
    /// The reply to a sender that was not known as live carries all known members.
    pub fn handle_message(
        &mut self,
        message: Message,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<Message> {
        let sender = message.sender()?.clone();
        let sender_is_new =
            self.others.get(&sender).is_none_or(|entry| !entry.member.state.is_live());
        for member in message.members {
            if member.id == self.own.id {
                self.refute(&member);
            } else {
                self.merge(member, now);
            }
        }
        if let Some(entry) = self.others.get_mut(&sender) {
            entry.unanswered_since = None;
        }
        message.expects_reply.then(|| {
            let mut entries = self.select_entries(&sender, rng);
            if sender_is_new {
                entries.extend(self.all().cloned());
            }
            Message { members: entries, expects_reply: false }
        })
    }

    /// Raises the local incarnation above that of a received entry about the local daemon.
    ///
    /// This happens if the received incarnation is higher, or if it is the same and the entry
    /// reports the local daemon as not alive although it is.
    fn refute(&mut self, received: &Member) {
        let suspected = received.state != State::Alive && self.own.state == State::Alive;
        let is_later = received.incarnation > self.own.incarnation;
        if is_later || (suspected && received.incarnation == self.own.incarnation) {
            self.own.incarnation = daemon::Incarnation::new(received.incarnation.get() + 1);
        }
    }

    /// Stores a received entry if it is newer than the known one.
    fn merge(&mut self, member: Member, now: Moment) {
        let sends = self.sends_per_update();
        match self.others.get_mut(&member.id) {
            Some(entry) if member.is_newer_than(&entry.member) => entry.update(member, now, sends),
            Some(_) => {}
            None => {
                self.others.insert(member.id.clone(), Entry::new(member, now, sends));
            }
        }
    }

    /// Returns the number of messages that carry an update, given the current number of members.
    fn sends_per_update(&self) -> u32 {
        SENDS_PER_DOUBLING * (self.others.len() + 2).ilog2().max(1)
    }

    /// Marks the local daemon as leaving; later rounds announce it to the others.
    pub const fn leave(&mut self) {
        self.own.state = State::Left;
    }

    /// Runs a heartbeat round if one is due; returns the messages to send with their recipients.
    ///
    /// After a pause of the local process, members are not suspected for replies that arrived or
    /// were due during the pause. The local daemon then takes a new incarnation, because others may
    /// have removed it.
    pub fn run_round(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<(Member, Message)> {
        if now < self.next_round {
            return Vec::new();
        }
        if self.was_paused(now) {
            self.resume_after_pause(now);
        }
        self.last_round = Some(now);
        self.next_round = now + self.limits.interval;
        self.apply_timeouts(now);
        let targets = self.select_targets(rng);
        targets.into_iter().map(|target| self.heartbeat(target, now, rng)).collect()
    }

    /// Suspects and removes members whose timeouts have passed, and deletes expired entries.
    fn apply_timeouts(&mut self, now: Moment) {
        let (limits, sends) = (self.limits, self.sends_per_update());
        for entry in self.others.values_mut() {
            let timed_out = entry
                .unanswered_since
                .is_some_and(|sent_at| now.since(sent_at) >= limits.reply_timeout);
            match entry.member.state {
                State::Alive if timed_out => entry.set_state(State::Suspect, now, sends),
                State::Suspect if now.since(entry.since) >= limits.remove_after => {
                    entry.set_state(State::Dead, now, sends);
                }
                _ => {}
            }
        }
        self.others.retain(|_, entry| {
            entry.member.state.is_live() || now.since(entry.since) < limits.forget_after
        });
    }

    /// Returns whether the local process missed rounds for so long that others may suspect it.
    fn was_paused(&self, now: Moment) -> bool {
        self.last_round.is_some_and(|last| now.since(last) >= self.limits.reply_timeout * 2)
    }

    /// Raises the local incarnation and restarts the timeouts of all live members.
    fn resume_after_pause(&mut self, now: Moment) {
        self.own.incarnation = daemon::Incarnation::new(self.own.incarnation.get() + 1);
        for entry in self.others.values_mut().filter(|entry| entry.member.state.is_live()) {
            entry.unanswered_since = None;
            entry.since = now;
        }
    }

    /// Selects the next live members in turn, and a random dead one to detect healed partitions.
    fn select_targets(&mut self, rng: &mut impl Rng) -> Vec<Member> {
        let mut targets = Vec::new();
        if self.heartbeat_queue.len() < self.limits.fanout {
            let mut live: Vec<daemon::Id> = self.live().map(|m| m.id.clone()).collect();
            live.shuffle(rng);
            self.heartbeat_queue.splice(0..0, live);
        }
        while targets.len() < self.limits.fanout
            && let Some(id) = self.heartbeat_queue.pop()
        {
            let entry = self.others.get(&id).filter(|entry| entry.member.state.is_live());
            targets.extend(entry.map(|entry| entry.member.clone()));
        }
        let dead = self.all().filter(|member| member.state == State::Dead);
        let dead = dead.choose(rng).cloned();
        targets.extend(dead);
        targets
    }

    /// Builds a heartbeat to a member and starts its reply timeout.
    fn heartbeat(&mut self, target: Member, now: Moment, rng: &mut impl Rng) -> (Member, Message) {
        if let Some(entry) = self.others.get_mut(&target.id) {
            entry.unanswered_since.get_or_insert(now);
        }
        let members = self.select_entries(&target.id, rng);
        (target, Message { members, expects_reply: true })
    }

    /// Selects the entries for a message to `to`.
    ///
    /// These are the local entry, the entry of `to` if it is not alive so that it can refute it,
    /// recent updates and some random entries.
    fn select_entries(&mut self, to: &daemon::Id, rng: &mut impl Rng) -> Vec<Member> {
        let mut members = vec![self.own.clone()];
        let not_alive = self.others.get(to).filter(|entry| entry.member.state != State::Alive);
        members.extend(not_alive.map(|entry| entry.member.clone()));
        let mut updates: Vec<&mut Entry> =
            self.others.values_mut().filter(|entry| entry.sends_left > 0).collect();
        updates.sort_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        for entry in updates.into_iter().take(self.limits.updates) {
            entry.sends_left -= 1;
            members.push(entry.member.clone());
        }
        members.extend(self.all().cloned().sample(rng, self.limits.random_entries));
        members
    }
}
