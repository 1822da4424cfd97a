use crate::fleet;
use crate::load;

/// What a daemon tells of one server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// Short form of the server's id.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Prompts whose first event has not come, in milliseconds of reading.
    #[prost(float, tag = "2")]
    pub unread_ms: f32,
    /// Reading that was sent since the daemon started, in milliseconds.
    #[prost(double, tag = "3")]
    pub sent_ms: f64,
    /// Requests in flight.
    #[prost(uint32, tag = "4")]
    pub requests: u32,
    /// Streams that have begun and allow only short pauses.
    #[prost(uint32, tag = "5")]
    pub tight: u32,
    /// Tokens held in the engine's memory.
    #[prost(uint64, tag = "6")]
    pub memory: u64,
    /// Streams that have begun.
    #[prost(uint32, tag = "7")]
    pub writing: u32,
    /// Streams on time, by the pauses that they allow.
    #[prost(message, repeated, tag = "8")]
    pub streams: Vec<Streams>,
}

/// Streams of one group at a server.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Streams {
    /// What they are worth.
    #[prost(float, tag = "1")]
    pub worth: f32,
    /// Shortest of the longest pauses that they allow, in milliseconds.
    #[prost(float, tag = "2")]
    pub pause_ms: f32,
}

impl From<&load::Streams> for Streams {
    fn from(streams: &load::Streams) -> Self {
        Self { worth: streams.value as f32, pause_ms: streams.target_gap_ms as f32 }
    }
}

impl From<&Streams> for load::Streams {
    fn from(streams: &Streams) -> Self {
        Self { value: f64::from(streams.worth), target_gap_ms: f64::from(streams.pause_ms) }
    }
}

/// How many servers a request broke.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Count {
    /// The upper half of the request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    /// The lower half.
    #[prost(fixed64, tag = "2")]
    pub low: u64,
    /// Servers.
    #[prost(uint32, tag = "3")]
    pub deaths: u32,
}

/// What a daemon tells its peers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Name of the daemon.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Counts the daemon's reports; a datagram with a lower number came late.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Tells starts of the daemon apart.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Version of its configuration; 0 for none.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// What it has in flight.
    #[prost(message, repeated, tag = "5")]
    pub loads: Vec<Load>,
    /// Short forms of servers that it saw leaving, each with its start.
    #[prost(fixed64, repeated, tag = "6")]
    pub leaving: Vec<u64>,
    /// Short forms of servers that are said to take no part in requests.
    #[prost(fixed64, repeated, tag = "10")]
    pub without_part: Vec<u64>,
    /// Whether it is stopping.
    #[prost(bool, tag = "11")]
    pub stopping: bool,
    /// Requests that broke servers.
    #[prost(message, repeated, tag = "7")]
    pub suspects: Vec<Count>,
    /// Reading of long prompts that callers ask of it, in milliseconds a second.
    #[prost(float, tag = "8")]
    pub demand_long_ms: f32,
    /// Streams with short pauses that callers ask of it, a second.
    #[prost(float, tag = "9")]
    pub demand_short: f32,
}

/// What a daemon hands to a peer that the store does not serve.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Document {
    /// Version of its configuration; 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The configuration as the store holds it.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
    /// The backend servers that it knows.
    #[prost(message, repeated, tag = "3")]
    pub servers: Vec<Server>,
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
    /// Where it takes requests.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether it is leaving.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Start of this incarnation, in Unix milliseconds; none where it is not stated.
    #[prost(uint64, optional, tag = "6")]
    pub born_ms: Option<u64>,
}

/// A part of a message that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable(String);

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&fleet::Server> for Server {
    fn from(server: &fleet::Server) -> Self {
        Self {
            id: server.id.to_string(),
            service: server.service.to_string(),
            address: server.address.to_string(),
            slots: server.slots,
            leaving: server.leaving,
            born_ms: server.started_ms,
        }
    }
}

impl TryFrom<&Server> for fleet::Server {
    type Error = Unreadable;

    fn try_from(server: &Server) -> Result<Self, Self::Error> {
        Ok(Self {
            id: server.id.parse().map_err(|e| Unreadable(format!("id: {e}")))?,
            service: server.service.parse().map_err(|e| Unreadable(format!("service: {e}")))?,
            address: server.address.parse().map_err(|e| Unreadable(format!("address: {e}")))?,
            slots: server.slots,
            leaving: server.leaving,
            started_ms: server.born_ms,
        })
    }
}

impl Load {
    /// Describes what this daemon has in flight at a server.
    pub fn of(server: u64, told: &load::ReportedLoad) -> Self {
        let load = &told.load;
        Self {
            server,
            unread_ms: load.backlog_ms as f32,
            sent_ms: told.sent_ms,
            requests: load.requests,
            tight: load.interactive,
            memory: load.memory,
            writing: load.decoding,
            streams: load.streams.iter().map(Into::into).collect(),
        }
    }
}

impl From<&Load> for load::ReportedLoad {
    fn from(load: &Load) -> Self {
        let streams =
            std::array::from_fn(|n| load.streams.get(n).map(Into::into).unwrap_or_default());
        let sent_ms = load.sent_ms;
        let load = load::Load {
            backlog_ms: f64::from(load.unread_ms),
            requests: load.requests,
            interactive: load.tight,
            memory: load.memory,
            decoding: load.writing,
            streams,
        };
        Self { load, sent_ms }
    }
}
