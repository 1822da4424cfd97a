use std::time::Duration;

use kumquattiller_base::fingerprint::Fingerprint;

use crate::fleet;
use crate::freshness;
use crate::load;
use crate::peer::Consumption;
use crate::peer::Pace;
use crate::peer::Prefix;
use crate::peer::Queue;
use crate::peer::RateLimit;
use crate::peer::transfer;
use crate::suspect;
use crate::suspect::Crash;
use crate::suspect::Feature;

/// The load that a daemon has on one server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// Hash of the server's id.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Backlog: prefill time of the prompts whose first event has not arrived, in milliseconds.
    #[prost(float, tag = "2")]
    pub backlog_ms: f32,
    /// Prefill time of all prompts sent since the daemon started, in milliseconds.
    #[prost(double, tag = "3")]
    pub sent_ms: f64,
    /// Requests in flight.
    #[prost(uint32, tag = "4")]
    pub requests: u32,
    /// Interactive streams that have begun, which allow only short gaps between events.
    #[prost(uint32, tag = "5")]
    pub interactive: u32,
    /// Tokens held in the engine's memory.
    #[prost(uint64, tag = "6")]
    pub memory: u64,
    /// Streams that have begun.
    #[prost(uint32, tag = "7")]
    pub decoding: u32,
    /// Streams that are on time, grouped by target gap.
    #[prost(message, repeated, tag = "8")]
    pub streams: Vec<Streams>,
    /// Value that the requests whose first event has not come lose with each second of delay.
    #[prost(float, tag = "9")]
    pub urgency_per_s: f32,
}

/// The streams of one group on a server.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Streams {
    /// Sum of the values of the streams.
    #[prost(float, tag = "1")]
    pub value: f32,
    /// Shortest target gap among them, in milliseconds.
    #[prost(float, tag = "2")]
    pub target_gap_ms: f32,
}

impl From<&load::Streams> for Streams {
    fn from(streams: &load::Streams) -> Self {
        Self { value: streams.value as f32, target_gap_ms: streams.target_gap_ms as f32 }
    }
}

impl From<&Streams> for load::Streams {
    fn from(streams: &Streams) -> Self {
        Self { value: f64::from(streams.value), target_gap_ms: f64::from(streams.target_gap_ms) }
    }
}

/// Something about requests that may crash the servers that run them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Suspect {
    /// Upper 64 bits of the fingerprint.
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    /// Lower 64 bits of the fingerprint.
    #[prost(fixed64, tag = "2")]
    pub low: u64,
    /// Position of the part in the prompt, or the highest number for a whole request.
    #[prost(uint32, tag = "4")]
    pub depth: u32,
    /// Crashes for which it is blamed: hashes of the servers that ended, as in `leaving`.
    #[prost(fixed64, repeated, tag = "5")]
    pub blamed: Vec<u64>,
    /// Those of them that it has not caused.
    #[prost(fixed64, repeated, tag = "6")]
    pub exonerated: Vec<u64>,
    /// Time since the last of the crashes, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub age_ms: u32,
}

/// What a daemon knows of the objects of one kind in the store.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Confirmation {
    /// Kind of the objects.
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Revision up to which the daemon has all changes of the kind, none of which is later.
    #[prost(uint64, tag = "2")]
    pub last_change: u64,
    /// Time since the store confirmed this, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Era of both revisions.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// Revision up to which the copy is complete; 0 if the sender does not state it.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// Kind of objects in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// A kind that this version does not know.
    Unknown = 0,
    /// The configuration.
    Config = 1,
    /// The registrations of the backend servers.
    Servers = 2,
    /// The registrations of the daemons.
    Daemons = 3,
    /// The evacuations of availability zones.
    Evacuations = 4,
}

/// A report that a daemon sends to its peers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Name of the daemon.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Sequence number of the report; a report whose number is not higher than the last one is
    /// ignored.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Random number that identifies this run of the daemon.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Version of its configuration; 0 for none.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Its load on each server where it has requests in flight.
    #[prost(message, repeated, tag = "5")]
    pub loads: Vec<Load>,
    /// Hashes of servers that it saw draining, each computed from the id and the start time.
    #[prost(fixed64, repeated, tag = "6")]
    pub leaving: Vec<u64>,
    /// Hashes of the ids of servers that another server reported as unusable helpers.
    #[prost(fixed64, repeated, tag = "10")]
    pub unusable_helpers: Vec<u64>,
    /// Whether it is stopping.
    #[prost(bool, tag = "11")]
    pub stopping: bool,
    /// What may have crashed servers.
    #[prost(message, repeated, tag = "7")]
    pub suspects: Vec<Suspect>,
    /// Demand for long prompts at this daemon, in milliseconds of prefill per second.
    #[prost(float, tag = "8")]
    pub demand_long_ms: f32,
    /// Demand for short prompts at this daemon, in requests per second.
    #[prost(float, tag = "9")]
    pub demand_short: f32,
    /// What it knows of the store.
    #[prost(message, repeated, tag = "12")]
    pub confirmations: Vec<Confirmation>,
    /// Whether the receiver is to forward the report to the other daemons of its availability zone.
    #[prost(bool, tag = "13")]
    pub forward: bool,
    /// Address of the daemon, if another one has forwarded the report.
    #[prost(string, optional, tag = "14")]
    pub origin: Option<String>,
    /// Rate limits of servers that it knows.
    #[prost(message, repeated, tag = "15")]
    pub rate_limits: Vec<RateLimit>,
    /// Its admission queue, if anything waits or is promised.
    #[prost(message, optional, tag = "17")]
    pub queue: Option<Queue>,
    /// What the largest client accounts asked for and got there.
    #[prost(message, repeated, tag = "18")]
    pub accounts: Vec<Consumption>,
    /// What it has measured of the pace of servers.
    #[prost(message, repeated, tag = "19")]
    pub paces: Vec<Pace>,
    /// Prefixes that it has used most since its last report.
    #[prost(message, repeated, tag = "20")]
    pub prefixes: Vec<Prefix>,
}

/// The state that a daemon sends to a peer that cannot get it from the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Document {
    /// Version of its configuration; 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The configuration document, as stored by the platform.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
    /// The backend servers that it knows.
    #[prost(message, repeated, tag = "3")]
    pub servers: Vec<Server>,
    /// The evacuations that it knows, all of them with their revision; none if it knows none yet or
    /// is of a version that does not follow them.
    #[prost(message, optional, tag = "4")]
    pub evacuations: Option<transfer::Response>,
}

/// A backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Server {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Address at which it accepts requests.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Number of requests that it runs concurrently.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether it is draining.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Start time of the server process in Unix milliseconds, if stated.
    #[prost(uint64, optional, tag = "6")]
    pub started_ms: Option<u64>,
    /// Its availability zone, if known.
    #[prost(string, optional, tag = "7")]
    pub zone: Option<String>,
    /// How much longer it is cold, in milliseconds, as of its registration.
    #[prost(uint32, tag = "8")]
    pub cold_ms: u32,
}

/// Error for a message field that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable(pub(super) String);

impl std::error::Error for Unreadable {}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<suspect::Report> for Suspect {
    fn from(report: suspect::Report) -> Self {
        let fingerprint = report.feature.fingerprint.get();
        Self {
            high: (fingerprint >> 64) as u64,
            low: fingerprint as u64,
            depth: report.feature.depth,
            blamed: report.blamed.into_iter().map(Crash::get).collect(),
            exonerated: report.exonerated.into_iter().map(Crash::get).collect(),
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<&Suspect> for suspect::Report {
    fn from(suspect: &Suspect) -> Self {
        let fingerprint = (u128::from(suspect.high) << 64) | u128::from(suspect.low);
        let feature = Feature { fingerprint: Fingerprint::new(fingerprint), depth: suspect.depth };
        Self {
            feature,
            blamed: suspect.blamed.iter().copied().map(Crash::of).collect(),
            exonerated: suspect.exonerated.iter().copied().map(Crash::of).collect(),
            age: Duration::from_millis(suspect.age_ms.into()),
        }
    }
}

impl From<freshness::Kind> for Kind {
    fn from(kind: freshness::Kind) -> Self {
        match kind {
            freshness::Kind::Config => Self::Config,
            freshness::Kind::Servers => Self::Servers,
            freshness::Kind::Daemons => Self::Daemons,
            freshness::Kind::Evacuations => Self::Evacuations,
        }
    }
}

impl TryFrom<Kind> for freshness::Kind {
    type Error = Unreadable;

    fn try_from(kind: Kind) -> Result<Self, Self::Error> {
        match kind {
            Kind::Unknown => Err(Unreadable("unknown kind of object".to_owned())),
            Kind::Config => Ok(Self::Config),
            Kind::Servers => Ok(Self::Servers),
            Kind::Daemons => Ok(Self::Daemons),
            Kind::Evacuations => Ok(Self::Evacuations),
        }
    }
}

impl From<(freshness::Kind, freshness::Confirmation)> for Confirmation {
    fn from((kind, confirmation): (freshness::Kind, freshness::Confirmation)) -> Self {
        Self {
            kind: Kind::from(kind).into(),
            last_change: confirmation.last_change.number(),
            age_ms: u32::try_from(confirmation.age.as_millis()).unwrap_or(u32::MAX),
            era: confirmation.revision.era().get(),
            revision: confirmation.revision.number(),
        }
    }
}

impl From<&Confirmation> for freshness::Confirmation {
    fn from(confirmation: &Confirmation) -> Self {
        let era = freshness::Era::new(confirmation.era);
        let last_change = freshness::Revision::of(era, confirmation.last_change);
        Self {
            last_change,
            revision: freshness::Revision::of(era, confirmation.revision).max(last_change),
            age: Duration::from_millis(confirmation.age_ms.into()),
        }
    }
}

impl From<&fleet::Server> for Server {
    fn from(server: &fleet::Server) -> Self {
        Self {
            id: server.id.to_string(),
            service: server.service.to_string(),
            address: server.address.to_string(),
            slots: server.slots,
            leaving: server.draining,
            started_ms: server.started_ms,
            zone: server.zone.as_ref().map(ToString::to_string),
            cold_ms: u32::try_from(server.cold_left.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl TryFrom<&Server> for fleet::Server {
    type Error = Unreadable;

    fn try_from(server: &Server) -> Result<Self, Self::Error> {
        let zone = server.zone.as_deref().map(str::parse).transpose();
        Ok(Self {
            id: server.id.parse().map_err(|e| Unreadable(format!("id: {e}")))?,
            service: server.service.parse().map_err(|e| Unreadable(format!("service: {e}")))?,
            address: server.address.parse().map_err(|e| Unreadable(format!("address: {e}")))?,
            slots: server.slots,
            draining: server.leaving,
            started_ms: server.started_ms,
            zone: zone.map_err(|e| Unreadable(format!("zone: {e}")))?,
            cold_left: Duration::from_millis(server.cold_ms.into()),
        })
    }
}

impl Load {
    /// Returns the message for the load that this daemon has on a server.
    pub fn of(server: u64, reported: &load::ReportedLoad) -> Self {
        let load = &reported.load;
        Self {
            server,
            backlog_ms: load.backlog_ms as f32,
            sent_ms: reported.sent_ms,
            requests: load.requests,
            interactive: load.interactive,
            memory: load.memory,
            decoding: load.decoding,
            streams: load.streams.iter().map(Into::into).collect(),
            urgency_per_s: (load.urgency * 1e3) as f32,
        }
    }
}

impl From<&Load> for load::ReportedLoad {
    fn from(load: &Load) -> Self {
        let streams =
            std::array::from_fn(|n| load.streams.get(n).map(Into::into).unwrap_or_default());
        let sent_ms = load.sent_ms;
        let load = load::Load {
            unanswered_ms: f64::from(load.backlog_ms),
            backlog_ms: f64::from(load.backlog_ms),
            requests: load.requests,
            interactive: load.interactive,
            memory: load.memory,
            decoding: load.decoding,
            streams,
            urgency: f64::from(load.urgency_per_s) / 1e3,
        };
        Self { load, sent_ms }
    }
}
