use std::time::Duration;

use kumquattiller_base::service;

/// What of a request may be sent to a second server after the first may have run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Repeat {
    /// Nothing: it runs at most once.
    Never,
    /// The whole request.
    Whole,
    /// The rest of the stream, after the last whole event that the caller has.
    Rest,
}

/// A service that a route sends to, and its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: service::Name,
    /// Its part, relative to the other targets.
    pub weight: u32,
}

/// How the requests below one path of one host are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host in lower case, without port.
    pub host: String,
    /// Start of the path.
    pub prefix: String,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// What may be sent again.
    pub repeat: Repeat,
    /// Longest time without a final answer.
    pub timeout: Duration,
    /// Time within which the first event, or the whole answer, is on time.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub target_gap: Duration,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services that it sends to; never empty.
    pub targets: Vec<Target>,
    /// Most servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether a request needs no API key.
    pub public: bool,
}

impl Route {
    /// Picks the service for a request; `draw` is uniform in 0..1.
    pub fn service(&self, draw: f64) -> Option<&service::Name> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rev().find(|t| t.weight > 0).map(|t| &t.service)
    }
}
