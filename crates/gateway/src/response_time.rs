//! How long the servers of a service without an engine profile take.
//!
//! Nothing tells it beforehand, so the longest time that was seen recently stands for the next one.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::service;
use kumquattiller_base::time::Moment;

/// Time for which a response is remembered, at least.
pub const MEMORY: Duration = Duration::from_secs(10);

/// The longest recent response time of each service.
#[derive(Debug, Default)]
pub struct Table {
    services: HashMap<service::Name, Longest>,
}

/// The longest times of the present and of the previous period.
#[derive(Debug, Clone, Copy, Default)]
struct Longest {
    began: Moment,
    present: Duration,
    previous: Duration,
}

impl Table {
    /// Records that a server of a service took this long.
    pub fn record(&mut self, service: &service::Name, time: Duration, now: Moment) {
        let longest = self.services.entry(service.clone()).or_default().at(now);
        let longest = Longest { present: longest.present.max(time), ..longest };
        self.services.insert(service.clone(), longest);
    }

    /// Returns the longest time of a service that was recorded recently.
    pub fn longest(&self, service: &service::Name, now: Moment) -> Option<Duration> {
        let longest = self.services.get(service)?.at(now);
        Some(longest.present.max(longest.previous)).filter(|time| !time.is_zero())
    }
}

impl Longest {
    /// Returns the times as of `now`: periods that are over make room for later ones.
    fn at(self, now: Moment) -> Self {
        let elapsed = now.since(self.began);
        if elapsed < MEMORY {
            return self;
        }
        let previous = if elapsed < MEMORY * 2 { self.present } else { Duration::ZERO };
        Self { began: now, present: Duration::ZERO, previous }
    }
}
