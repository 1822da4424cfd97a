use std::time::Duration;

use kumquattiller_base::account;
use kumquattiller_base::time::Moment;
use xxhash_rust::xxh3::xxh3_64;

/// Time constant with which past use is forgotten. It spans several waits of the largest prompts, so
/// that an account cannot regain its share by pausing for one wait.
const TIME_CONSTANT: Duration = Duration::from_secs(10);

/// A client account, equal at all daemons. All requests without an account are one consumer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Consumer(u64);

impl Consumer {
    /// Returns the consumer of an account.
    pub fn of(account: Option<&account::Id>) -> Self {
        account.map_or(Self(0), |id| Self(xxh3_64(id.as_str().as_bytes())))
    }

    /// Creates a consumer from a number received in a report.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the consumer as a plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// What a consumer recently asked for and got, in tokens. Both decay with time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Tokens that it asked for.
    pub asked: f64,
    /// Tokens that it was served.
    pub served: f64,
}

impl Usage {
    /// Returns the usage after some time.
    pub fn after(self, elapsed: Duration) -> Self {
        let factor = (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        Self { asked: self.asked * factor, served: self.served * factor }
    }
}

impl std::ops::Add for Usage {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { asked: self.asked + other.asked, served: self.served + other.served }
    }
}

/// The usage of one consumer at one daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Consumption {
    /// The consumer.
    pub consumer: Consumer,
    /// What it asked for and got.
    pub usage: Usage,
}

/// The usage of a consumer as of a moment.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Dated {
    usage: Usage,
    at: Moment,
}

impl Dated {
    /// Adds to the usage.
    pub fn add(&mut self, usage: Usage, now: Moment) {
        self.usage = self.at(now) + usage;
        self.at = now;
    }

    /// Returns the usage at a moment.
    pub fn at(&self, now: Moment) -> Usage {
        self.usage.after(now.since(self.at))
    }
}
