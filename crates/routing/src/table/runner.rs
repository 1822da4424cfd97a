use kumquattiller_base::place::Zone;
use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use xxhash_rust::xxh3::xxh3_64;

use crate::band::Band;
use crate::load::Load;
use crate::request::Request;
use crate::table::Distance;

/// An entry daemon's view of one runner.
#[derive(Debug, Clone)]
pub struct Runner {
    /// The runner's id.
    pub id: Id,
    /// Hash of its id, equal in every daemon.
    pub(crate) hash: u64,
    /// Its index among the runners when ordered by the hash of their ids.
    pub rank: usize,
    /// Its availability zone.
    pub zone: Zone,
    /// Its distance from this daemon.
    pub distance: Distance,
    /// Its last reported load.
    pub load: Load,
    /// When the last report arrived.
    pub reported_at: Option<Moment>,
    /// Whether a link to it is open.
    pub reachable: bool,
    /// Requests of this daemon that have not ended.
    pub outstanding: u32,
    /// Requests sent since the last report.
    pub sent_requests: u32,
    /// KV memory of the requests sent since the last report.
    pub sent_footprint: Tokens,
    /// Prompt tokens sent since the last report.
    pub sent_prompt: Tokens,
    /// The part of `sent_prompt` that belongs to prompts over 8,000 tokens.
    pub sent_long_prompt: Tokens,
}

impl Runner {
    /// Creates the entry of a runner that has not reported yet.
    pub(super) fn new(id: Id, zone: Zone, distance: Distance) -> Self {
        Self {
            hash: xxh3_64(id.as_str().as_bytes()),
            id,
            rank: 0,
            zone,
            distance,
            load: Load::default(),
            reported_at: None,
            reachable: true,
            outstanding: 0,
            sent_requests: 0,
            sent_footprint: Tokens::ZERO,
            sent_prompt: Tokens::ZERO,
            sent_long_prompt: Tokens::ZERO,
        }
    }

    /// Returns whether the runner accepts new requests.
    pub const fn is_open(&self) -> bool {
        self.reachable && !self.load.draining
    }

    /// Returns the estimated free KV memory, which is zero until the first report.
    pub const fn free(&self) -> Tokens {
        self.load.free().saturating_sub(self.sent_footprint)
    }

    /// Returns the estimated number of prompt tokens not yet computed.
    pub const fn backlog(&self) -> Tokens {
        self.load.backlog.saturating_add(self.sent_prompt)
    }

    /// Returns the estimated part of the backlog that belongs to prompts over 8,000 tokens.
    pub const fn long_backlog(&self) -> Tokens {
        self.load.long_backlog.saturating_add(self.sent_long_prompt)
    }

    /// Returns the estimated number of requests running or waiting.
    pub const fn requests(&self) -> u32 {
        self.load.running + self.load.waiting + self.sent_requests
    }

    pub(super) const fn report(&mut self, load: Load, now: Moment) {
        self.load = load;
        self.reported_at = Some(now);
        self.sent_requests = 0;
        self.sent_footprint = Tokens::ZERO;
        self.sent_prompt = Tokens::ZERO;
        self.sent_long_prompt = Tokens::ZERO;
    }

    pub(super) fn sent(&mut self, request: &Request<'_>) {
        self.outstanding += 1;
        self.sent_requests += 1;
        self.sent_footprint = self.sent_footprint.saturating_add(request.footprint());
        self.sent_prompt = self.sent_prompt.saturating_add(request.prompt);
        if request.band() != Band::UpTo8k {
            self.sent_long_prompt = self.sent_long_prompt.saturating_add(request.prompt);
        }
    }
}
