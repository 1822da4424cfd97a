use std::time::Duration;

use kumquattiller_base::place::Region;
use kumquattiller_base::service;

/// What may be sent to a second server when the first server may have run the request already.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Retry {
    /// Nothing: the request runs at most once.
    Never,
    /// The whole request.
    Whole,
    /// The rest of the stream, starting after the last complete event sent to the caller.
    Rest,
}

/// A service that a route sends requests to, with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: service::Name,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// Rules for the requests under one path prefix of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name used in logs.
    pub name: String,
    /// Host in lower case, without port.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// What may be retried when a server may have run the request.
    pub retry: Retry,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Time until which the first event, or a response that is not a stream, is on time.
    pub target_latency: Duration,
    /// Longest gap between two events for a stream to be on time.
    pub target_gap: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that the route sends requests to; never empty.
    pub targets: Vec<Target>,
    /// Maximum number of servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Regions in which requests may run; any if empty.
    pub regions: Vec<Region>,
}

impl Route {
    /// Picks the service for a request by weight; `draw` is a uniform random number in 0..1.
    pub fn service(&self, draw: f64) -> Option<&service::Name> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut remaining = draw * f64::from(total);
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rev().find(|t| t.weight > 0).map(|t| &t.service)
    }
}
