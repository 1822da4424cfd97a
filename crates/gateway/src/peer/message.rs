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
        Self { worth: streams.worth as f32, pause_ms: streams.pause_ms as f32 }
    }
}

impl From<&Streams> for load::Streams {
    fn from(streams: &Streams) -> Self {
        Self { worth: f64::from(streams.worth), pause_ms: f64::from(streams.pause_ms) }
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

/// A configuration that a daemon hands to a peer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Document {
    /// Its version; 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document as the store holds it.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
}

impl Load {
    /// Describes what this daemon has in flight at a server.
    pub fn of(server: u64, told: &load::Told) -> Self {
        let load = &told.load;
        Self {
            server,
            unread_ms: load.unread_ms as f32,
            sent_ms: told.sent_ms,
            requests: load.requests,
            tight: load.tight,
            memory: load.memory,
            writing: load.writing,
            streams: load.streams.iter().map(Into::into).collect(),
        }
    }
}

impl From<&Load> for load::Told {
    fn from(load: &Load) -> Self {
        let streams =
            std::array::from_fn(|n| load.streams.get(n).map(Into::into).unwrap_or_default());
        let sent_ms = load.sent_ms;
        let load = load::Load {
            unread_ms: f64::from(load.unread_ms),
            requests: load.requests,
            tight: load.tight,
            memory: load.memory,
            writing: load.writing,
            streams,
        };
        Self { load, sent_ms }
    }
}
