use std::time::Duration;

use kumquattiller_base::account::Rank;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::queue;
use kumquattiller_routing::queue::Consumer;
use kumquattiller_routing::queue::Identity;
use kumquattiller_routing::queue::Place;
use kumquattiller_routing::queue::Pool;
use kumquattiller_routing::queue::Shortage;

/// What a daemon tells of its admission queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Queue {
    /// The first waiting requests in its order.
    #[prost(message, repeated, tag = "1")]
    pub waiting: Vec<Waiting>,
    /// Work of the waiting requests that are not listed, in milliseconds of all servers.
    #[prost(uint32, tag = "2")]
    pub other_work_ms: u32,
    /// Sums of what it has promised.
    #[prost(message, repeated, tag = "3")]
    pub slots: Vec<Slot>,
    /// Identities of the requests that it has promised to serve.
    #[prost(fixed64, repeated, tag = "4")]
    pub promised: Vec<u64>,
    /// Identities of the requests that have returned to it.
    #[prost(fixed64, repeated, tag = "5")]
    pub returned: Vec<u64>,
}

/// A waiting request.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Waiting {
    /// Hash of its service.
    #[prost(fixed64, tag = "1")]
    pub pool: u64,
    /// Urgency; 0 is served first.
    #[prost(uint32, tag = "2")]
    pub urgency: u32,
    /// Whether it was promised to be served.
    #[prost(bool, tag = "3")]
    pub promised: bool,
    /// Whether its client account has had more than its share.
    #[prost(bool, tag = "4")]
    pub over_share: bool,
    /// For how much longer it may wait, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub due_ms: u32,
    /// Time until released memory is kept for it, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub aged_ms: u32,
    /// Whether it lacked memory when it was last tried; absent if it has not been tried.
    #[prost(bool, optional, tag = "7")]
    pub lacks_memory: Option<bool>,
    /// Its work, in milliseconds of all servers.
    #[prost(uint32, tag = "8")]
    pub work_ms: u32,
    /// Value of its answer.
    #[prost(float, tag = "9")]
    pub value: f32,
}

/// Sum of promises that become due at about the same time.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Slot {
    /// Hash of the service.
    #[prost(fixed64, tag = "1")]
    pub pool: u64,
    /// Time until they are due, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub due_ms: u32,
    /// Their work, in milliseconds of all servers.
    #[prost(uint32, tag = "3")]
    pub work_ms: u32,
    /// Their memory, in tokens.
    #[prost(uint64, tag = "4")]
    pub footprint: u64,
}

/// What a client account recently asked for and got at a daemon.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Consumption {
    /// Hash of the account; 0 for all requests without one.
    #[prost(fixed64, tag = "1")]
    pub consumer: u64,
    /// Tokens that it asked for.
    #[prost(float, tag = "2")]
    pub asked: f32,
    /// Tokens that it was served.
    #[prost(float, tag = "3")]
    pub served: f32,
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl Queue {
    /// Returns the message of a report, or `None` if there is nothing to tell.
    pub fn of(report: &queue::Report, now: Moment) -> Option<Self> {
        let message = Self {
            waiting: report.waiting.iter().map(|place| Waiting::of(place, now)).collect(),
            other_work_ms: millis(report.other_work),
            slots: report.slots.iter().map(Into::into).collect(),
            promised: report.promised.iter().map(|identity| identity.get()).collect(),
            returned: report.returned.iter().map(|identity| identity.get()).collect(),
        };
        (message != Self::default()).then_some(message)
    }

    /// Returns the report, received at `now`, with what the daemon tells of client accounts.
    pub fn report(&self, accounts: &[Consumption], now: Moment) -> queue::Report {
        queue::Report {
            waiting: self.waiting.iter().map(|waiting| waiting.place(now)).collect(),
            other_work: Duration::from_millis(self.other_work_ms.into()),
            slots: self.slots.iter().map(Into::into).collect(),
            promised: self.promised.iter().copied().map(Identity::new).collect(),
            returned: self.returned.iter().copied().map(Identity::new).collect(),
            usages: accounts.iter().map(Into::into).collect(),
        }
    }
}

impl Waiting {
    fn of(place: &Place, now: Moment) -> Self {
        Self {
            pool: place.pool.get(),
            urgency: place.urgency.get().into(),
            promised: place.promised,
            over_share: place.over_share,
            due_ms: millis(place.due.since(now)),
            aged_ms: millis(place.aged_at.since(now)),
            lacks_memory: place.shortage.map(|shortage| shortage == Shortage::Memory),
            work_ms: millis(place.work),
            value: place.value as f32,
        }
    }

    fn place(&self, now: Moment) -> Place {
        let shortage = |memory| if memory { Shortage::Memory } else { Shortage::Cost };
        Place {
            pool: Pool::new(self.pool),
            urgency: Rank::new(u8::try_from(self.urgency).unwrap_or(u8::MAX)),
            promised: self.promised,
            over_share: self.over_share,
            due: now + Duration::from_millis(self.due_ms.into()),
            aged_at: now + Duration::from_millis(self.aged_ms.into()),
            shortage: self.lacks_memory.map(shortage),
            work: Duration::from_millis(self.work_ms.into()),
            value: f64::from(self.value),
        }
    }
}

impl From<&queue::Slot> for Slot {
    fn from(slot: &queue::Slot) -> Self {
        Self {
            pool: slot.pool.get(),
            due_ms: millis(slot.due_in),
            work_ms: millis(slot.work),
            footprint: slot.footprint.get(),
        }
    }
}

impl From<&Slot> for queue::Slot {
    fn from(slot: &Slot) -> Self {
        Self {
            pool: Pool::new(slot.pool),
            due_in: Duration::from_millis(slot.due_ms.into()),
            work: Duration::from_millis(slot.work_ms.into()),
            footprint: Tokens::new(slot.footprint),
        }
    }
}

impl From<&queue::Consumption> for Consumption {
    fn from(consumption: &queue::Consumption) -> Self {
        Self {
            consumer: consumption.consumer.get(),
            asked: consumption.usage.asked as f32,
            served: consumption.usage.served as f32,
        }
    }
}

impl From<&Consumption> for queue::Consumption {
    fn from(consumption: &Consumption) -> Self {
        let amount =
            |tokens: f32| f64::from(if tokens.is_finite() { tokens.max(0.0) } else { 0.0 });
        Self {
            consumer: Consumer::new(consumption.consumer),
            usage: queue::Usage {
                asked: amount(consumption.asked),
                served: amount(consumption.served),
            },
        }
    }
}
