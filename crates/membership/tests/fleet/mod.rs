//! Simulated zone of daemons with a message queue and a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquattiller_base::daemon::Incarnation;
use kumquattiller_base::time::Moment;
use kumquattiller_membership::Limits;
use kumquattiller_membership::Member;
use kumquattiller_membership::Message;
use kumquattiller_membership::State;
use kumquattiller_membership::Table;
use kumquattiller_wire::Body;
use kumquattiller_wire::Codec;
use kumquattiller_wire::Frame;
use kumquattiller_wire::link;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio_util::bytes::BytesMut;
use tokio_util::codec::Encoder;

/// Interval at which a daemon checks its timers.
const TICK: Duration = Duration::from_millis(500);

enum Event {
    Tick(usize),
    /// Message with the indices of its sender and its recipient.
    Message(usize, usize, Message),
}

struct Daemon {
    table: Table,
    killed: bool,
    paused_until: Moment,
    /// Side of the network partition; only daemons of the same side exchange messages.
    side: usize,
}

/// Returns the length in bytes of a message as a length-prefixed frame.
fn encoded_len(message: &Message) -> usize {
    let members = message.members.iter().map(|member| link::Member {
        daemon: member.id.to_string(),
        incarnation: member.incarnation.get(),
        heartbeat: 0,
        address: member.address.to_string(),
        zone: member.zone.to_string(),
        state: member.state.to_string(),
        config_version: 0,
    });
    let gossip = link::Gossip { members: members.collect(), asks: message.expects_reply };
    let mut bytes = BytesMut::new();
    let frame = Frame { body: Some(Body::Gossip(gossip)) };
    Codec::default().encode(frame, &mut bytes).expect("a message fits a frame");
    bytes.len()
}

pub struct Fleet {
    now: Moment,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Moment, u64), Event>,
    sequence: u64,
    daemons: Vec<Daemon>,
    sent_bytes: usize,
}

pub fn member(n: usize) -> Member {
    Member {
        id: format!("entry-{n:04}").parse().unwrap(),
        incarnation: Incarnation::new(1_790_000_000_000_000),
        address: ([127, 0, 0, 1], 1000 + n as u16).into(),
        zone: "pasig".parse().unwrap(),
        state: State::Alive,
    }
}

/// Returns the index of the daemon, which is encoded in its port.
fn index(member: &Member) -> usize {
    usize::from(member.address.port()) - 1000
}

impl Fleet {
    /// Creates a zone in which the platform lists only the first daemon.
    pub fn new(seed: u64, daemons: usize) -> Self {
        let mut fleet = Self {
            now: Moment::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            daemons: Vec::new(),
            sent_bytes: 0,
        };
        for n in 0..daemons {
            let mut table = Table::new(member(n), Limits::default());
            table.seed(member(0), Moment::ZERO);
            let daemon = Daemon { table, killed: false, paused_until: Moment::ZERO, side: 0 };
            fleet.daemons.push(daemon);
            let first = Moment::ZERO + Duration::from_millis(fleet.rng.random_range(0..500));
            fleet.push(first, Event::Tick(n));
        }
        fleet
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.step(event);
        }
        self.now = end;
    }

    fn step(&mut self, event: Event) {
        let n = match &event {
            Event::Tick(n) | Event::Message(_, n, _) => *n,
        };
        let daemon = &mut self.daemons[n];
        if daemon.killed {
            return;
        }
        if self.now < daemon.paused_until {
            let resumed_at = daemon.paused_until;
            self.push(resumed_at, event);
            return;
        }
        match event {
            Event::Tick(n) => self.tick(n),
            Event::Message(from, to, message) => {
                if self.daemons[from].side == self.daemons[to].side {
                    let reply =
                        self.daemons[to].table.handle_message(message, self.now, &mut self.rng);
                    reply.into_iter().for_each(|reply| self.send(to, from, reply));
                }
            }
        }
    }

    fn tick(&mut self, n: usize) {
        let sent = self.daemons[n].table.run_round(self.now, &mut self.rng);
        for (to, message) in sent {
            self.send(n, index(&to), message);
        }
        self.push(self.now + TICK, Event::Tick(n));
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.sent_bytes += encoded_len(&message);
        let delay = Duration::from_micros(self.rng.random_range(300..5_000));
        self.push(self.now + delay, Event::Message(from, to, message));
    }

    pub fn kill(&mut self, n: usize) {
        self.daemons[n].killed = true;
    }

    pub fn leave(&mut self, n: usize) {
        self.daemons[n].table.leave();
    }

    pub fn pause(&mut self, n: usize, span: Duration) {
        self.daemons[n].paused_until = self.now + span;
    }

    /// Partitions the network between the daemons before `first` and those from `first` on.
    pub fn partition(&mut self, first: usize) {
        self.daemons[first..].iter_mut().for_each(|daemon| daemon.side = 1);
    }

    pub fn heal(&mut self) {
        self.daemons.iter_mut().for_each(|daemon| daemon.side = 0);
    }

    fn is_up(&self, n: usize) -> bool {
        !self.daemons[n].killed && self.daemons[n].table.own().state == State::Alive
    }

    /// Returns the states that running daemons hold, as `(daemon, member, state)`.
    fn views(&self) -> Vec<(usize, usize, State)> {
        let up = (0..self.daemons.len()).filter(|n| self.is_up(*n));
        up.flat_map(|n| {
            self.daemons[n].table.all().map(move |other| (n, index(other), other.state))
        })
        .collect()
    }

    /// Counts the pairs of running daemons in which the first does not consider the second live.
    pub fn missing_members(&self) -> usize {
        let up = (0..self.daemons.len()).filter(|n| self.is_up(*n)).count();
        let known = self.views().iter().filter(|(_, m, s)| self.is_up(*m) && s.is_live()).count();
        up * up.saturating_sub(1) - known
    }

    /// Counts the entries that still show a killed or leaving daemon as live.
    pub fn stale_members(&self) -> usize {
        self.views().iter().filter(|(_, m, s)| !self.is_up(*m) && s.is_live()).count()
    }

    /// Counts the entries that show a running daemon as dead or left.
    pub fn false_removals(&self) -> usize {
        self.views().iter().filter(|(_, m, s)| self.is_up(*m) && !s.is_live()).count()
    }

    /// Counts the members that daemon `n` has removed.
    pub fn removals_by(&self, n: usize) -> usize {
        self.views().iter().filter(|(by, _, s)| *by == n && *s == State::Dead).count()
    }

    /// Counts the running daemons that have removed daemon `n`.
    pub fn removals_of(&self, n: usize) -> usize {
        self.views().iter().filter(|(_, m, s)| *m == n && *s == State::Dead).count()
    }

    /// Returns the number of bytes sent since the last call.
    pub fn take_sent_bytes(&mut self) -> usize {
        std::mem::take(&mut self.sent_bytes)
    }

    pub fn incarnation(&self, n: usize) -> u64 {
        self.daemons[n].table.own().incarnation.get()
    }
}
