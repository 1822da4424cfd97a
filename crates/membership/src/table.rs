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

/// Messages that carry an entry as news, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 2;

/// The members of an availability zone as one daemon sees them.
#[derive(Debug)]
pub struct Table {
    own: Member,
    limits: Limits,
    others: BTreeMap<daemon::Id, Entry>,
    /// Members that get a heartbeat next, so that each gets one in turn.
    turn: Vec<daemon::Id>,
    next_round: Moment,
    last_round: Option<Moment>,
}

impl Table {
    /// Starts with the own entry alone.
    pub const fn new(own: Member, limits: Limits) -> Self {
        let others = BTreeMap::new();
        let turn = Vec::new();
        let next_round = Moment::ZERO;
        Self { own, limits, others, turn, next_round, last_round: None }
    }

    /// Returns the own entry.
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the other members that count as live.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|member| member.state.is_live())
    }

    /// Returns every other member that is remembered.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|entry| &entry.member)
    }

    /// Adds a daemon that the platform lists, when nothing is known of it.
    ///
    /// The list lags, so it never brings back a member that is remembered as dead or left.
    pub fn seed(&mut self, member: Member, now: Moment) {
        if member.id != self.own.id {
            self.others.entry(member.id.clone()).or_insert_with(|| Entry::new(member, now, 0));
        }
    }

    /// Takes a message; returns the answer when the sender waits for one.
    pub fn take(&mut self, message: Message, now: Moment, rng: &mut impl Rng) -> Option<Message> {
        let sender = message.sender()?.clone();
        let is_new = self.others.get(&sender).is_none_or(|entry| !entry.member.state.is_live());
        for member in message.members {
            if member.id == self.own.id {
                self.refute(&member);
            } else {
                self.merge(member, now);
            }
        }
        if let Some(entry) = self.others.get_mut(&sender) {
            entry.asked_at = None;
        }
        message.asks.then(|| {
            let mut answer = self.message(&sender, rng);
            if is_new {
                answer.extend(self.all().cloned());
            }
            Message { members: answer, asks: false }
        })
    }

    /// Raises the own incarnation above one that others doubt.
    fn refute(&mut self, news: &Member) {
        let doubted = news.state != State::Alive && self.own.state == State::Alive;
        let is_later = news.incarnation > self.own.incarnation;
        if is_later || (doubted && news.incarnation == self.own.incarnation) {
            self.own.incarnation = daemon::Incarnation::new(news.incarnation.get() + 1);
        }
    }

    fn merge(&mut self, news: Member, now: Moment) {
        let sends = self.sends();
        match self.others.get_mut(&news.id) {
            Some(entry) if news.is_newer_than(&entry.member) => entry.update(news, now, sends),
            Some(_) => {}
            None => {
                self.others.insert(news.id.clone(), Entry::new(news, now, sends));
            }
        }
    }

    /// Returns how many messages carry an entry as news.
    fn sends(&self) -> u32 {
        SENDS_PER_DOUBLING * (self.others.len() + 2).ilog2().max(1)
    }

    /// Marks the own entry as leaving; the rounds after tell the others.
    pub const fn leave(&mut self) {
        self.own.state = State::Left;
    }

    /// Runs a round when it is due; returns peers and what to send to each.
    ///
    /// A daemon that wakes from a pause holds nobody's silence against them: it slept through
    /// their answers. It takes a new incarnation, since others may have removed it.
    pub fn round(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<(Member, Message)> {
        if now < self.next_round {
            return Vec::new();
        }
        if self.was_paused(now) {
            self.wake(now);
        }
        self.last_round = Some(now);
        self.next_round = now + self.limits.interval;
        self.age(now);
        let targets = self.targets(rng);
        targets.into_iter().map(|target| self.ask(target, now, rng)).collect()
    }

    /// Suspects and removes members, and forgets those removed long ago.
    fn age(&mut self, now: Moment) {
        let (limits, sends) = (self.limits, self.sends());
        for entry in self.others.values_mut() {
            let silent = entry.asked_at.is_some_and(|at| now.since(at) >= limits.answer_timeout);
            match entry.member.state {
                State::Alive if silent => entry.turn(State::Suspect, now, sends),
                State::Suspect if now.since(entry.since) >= limits.remove_after => {
                    entry.turn(State::Dead, now, sends);
                }
                _ => {}
            }
        }
        self.others.retain(|_, entry| {
            entry.member.state.is_live() || now.since(entry.since) < limits.forget_after
        });
    }

    /// Tells whether the time since the last round is long enough to be suspected in.
    fn was_paused(&self, now: Moment) -> bool {
        self.last_round.is_some_and(|last| now.since(last) >= self.limits.answer_timeout * 2)
    }

    fn wake(&mut self, now: Moment) {
        self.own.incarnation = daemon::Incarnation::new(self.own.incarnation.get() + 1);
        for entry in self.others.values_mut().filter(|entry| entry.member.state.is_live()) {
            entry.asked_at = None;
            entry.since = now;
        }
    }

    /// Chooses members in turn, and a dead one, so that a healed partition is noticed.
    fn targets(&mut self, rng: &mut impl Rng) -> Vec<Member> {
        let mut targets = Vec::new();
        if self.turn.len() < self.limits.fanout {
            let mut live: Vec<daemon::Id> = self.live().map(|m| m.id.clone()).collect();
            live.shuffle(rng);
            self.turn.splice(0..0, live);
        }
        while targets.len() < self.limits.fanout
            && let Some(id) = self.turn.pop()
        {
            let entry = self.others.get(&id).filter(|entry| entry.member.state.is_live());
            targets.extend(entry.map(|entry| entry.member.clone()));
        }
        let dead = self.all().filter(|member| member.state == State::Dead);
        let dead = dead.choose(rng).cloned();
        targets.extend(dead);
        targets
    }

    fn ask(&mut self, target: Member, now: Moment, rng: &mut impl Rng) -> (Member, Message) {
        if let Some(entry) = self.others.get_mut(&target.id) {
            entry.asked_at.get_or_insert(now);
        }
        let members = self.message(&target.id, rng);
        (target, Message { members, asks: true })
    }

    /// Returns the own entry, what `to` has to know of itself, news and a random few.
    fn message(&mut self, to: &daemon::Id, rng: &mut impl Rng) -> Vec<Member> {
        let mut members = vec![self.own.clone()];
        let doubted = self.others.get(to).filter(|entry| entry.member.state != State::Alive);
        members.extend(doubted.map(|entry| entry.member.clone()));
        let mut news: Vec<&mut Entry> =
            self.others.values_mut().filter(|entry| entry.sends_left > 0).collect();
        news.sort_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        for entry in news.into_iter().take(self.limits.news) {
            entry.sends_left -= 1;
            members.push(entry.member.clone());
        }
        members.extend(self.all().cloned().sample(rng, self.limits.random));
        members
    }
}
