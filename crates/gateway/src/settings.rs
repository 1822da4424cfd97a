//! Settings of a gateway, which the adapter reads from the platform's settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::place::Region;
use kumquattiller_base::place::Zone;
use kumquattiller_base::size::Bytes;

use crate::budget;
use crate::peer::Member;
use crate::rate_limit::Rate;

/// Part of the memory that unread responses may take. The rest is for the bodies that are being read,
/// connections, tables and socket buffers.
const UNREAD_DIVISOR: u64 = 4;

/// Time kept for the release of memory before it may no longer stay reserved without being used.
const RELEASE_TIME: Duration = Duration::from_secs(1);

/// The settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The daemon's name, unique in the fleet.
    pub name: daemon::Id,
    /// Address at which callers connect.
    pub listen: SocketAddr,
    /// Address of the readiness check for the load balancer.
    pub ready: SocketAddr,
    /// Address for reports and documents of other daemons, over UDP and TCP.
    pub peer: SocketAddr,
    /// Address at which other daemons ask for changes, over TCP.
    pub changes: SocketAddr,
    /// The availability zone, if the platform states it.
    pub zone: Option<Zone>,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Time within which an accepted configuration is in force. A daemon whose copy was not confirmed
    /// for longer does not deny what the copy lacks.
    pub config_limit: Duration,
    /// Memory of the VM on which the daemon runs.
    pub memory: Bytes,
    /// Longest time for which memory may be reserved at a server without being used.
    pub max_unused_memory: Duration,
    /// Limits of the retry budget.
    pub budget: budget::Bounds,
    /// Region of each availability zone.
    pub regions: BTreeMap<Zone, Region>,
    /// How far the rate of a cold server may be exceeded.
    pub cold_bound: ColdBound,
    /// Time after which nothing may reach the servers of an evacuated availability zone; `None` if
    /// the platform evacuates none, so that evacuations are not followed.
    pub evacuation_limit: Option<Duration>,
}

/// How far the rate of a cold server may be exceeded: it gets at most its rate times `overshoot`,
/// plus `slack`, requests in one second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate.
    pub overshoot: f64,
    /// Number of further requests.
    pub slack: f64,
}

impl ColdBound {
    /// The rate itself.
    const EXACT: Self = Self { overshoot: 1.0, slack: 0.0 };

    /// Returns the most requests that a cold server may get in one second. Values that make no sense
    /// leave no room beyond the rate.
    pub fn requests(self, rate: Rate) -> usize {
        let Self { overshoot, slack } = if self.is_valid() { self } else { Self::EXACT };
        (rate.per_second() * overshoot + slack) as usize
    }

    /// Returns whether both values are numbers that are not negative.
    pub fn is_valid(self) -> bool {
        [self.overshoot, self.slack].iter().all(|value| value.is_finite() && *value >= 0.0)
    }
}

impl Settings {
    /// Returns how many bytes of responses the daemon holds for callers that have not read them.
    pub const fn unread_budget(&self) -> Bytes {
        Bytes::new(self.memory.get() / UNREAD_DIVISOR)
    }

    /// Returns the time without a sign of use after which reserved memory is given back.
    pub fn unused_memory_limit(&self) -> Duration {
        self.max_unused_memory - RELEASE_TIME.min(self.max_unused_memory / 2)
    }

    /// Returns how this daemon registers itself.
    pub fn member(&self) -> Member {
        Member {
            id: self.name.clone(),
            address: self.peer,
            zone: self.zone.clone(),
            changes: Some(self.changes),
        }
    }
}
