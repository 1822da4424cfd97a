//! What an adapter translates: the messages of callers, backend servers and the store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::http::request::Parts;
use kumquattiller_base::account;
use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;

use crate::config::Config;

/// The prompt that a request carries for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to read.
    pub tokens: Tokens,
    /// Most tokens to write.
    pub answer: Tokens,
}

/// What a caller asks, read from the head of its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of the request, for logs and to recognise its answer.
    pub id: String,
    /// API key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The prompt, where the request is for an engine.
    pub prompt: Option<Prompt>,
}

/// A server that reads a part of a prompt for another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Memory reserved there that takes in a part of the prompt.
    pub ticket: Option<String>,
}

/// Memory that is to be reserved at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Its name at the server.
    pub ticket: String,
    /// How much.
    pub tokens: Tokens,
    /// How long from its arrival.
    pub hold: Duration,
}

/// What the gateway adds to a request that it sends to a server.
#[derive(Debug, Clone, Copy)]
pub struct Forward<'a> {
    /// The server that is meant; any other one refuses.
    pub server: &'a runner::Id,
    /// Time that is left for the server.
    pub left: Duration,
    /// The caller's account.
    pub account: Option<&'a account::Id>,
    /// Servers that read parts of the prompt.
    pub helpers: &'a [Helper],
    /// Urgency, 0 first.
    pub urgency: Option<u8>,
    /// Id of the event after which a stream goes on, where the gateway resumes it.
    pub resume_after: Option<&'a [u8]>,
}

/// What the head of a server's answer says beside status and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Id of the request that it answers, as far as it says.
    pub id: Option<String>,
    /// Whether it bears the server's signature.
    pub sealed: bool,
    /// Whether it proves that the request did not run.
    pub not_run: bool,
    /// The server that is at fault, where another one than the answering one.
    pub at_fault: Option<SocketAddr>,
    /// How long the server keeps the connection open.
    pub keep_alive: Option<Duration>,
}

/// A message that cannot be read, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable(pub String);

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Unreadable {}

/// The translation between a platform's messages and the gateway's types.
pub trait Dialect {
    /// Returns the path that the balancer asks for readiness.
    fn ready_path(&self) -> &str;

    /// Reads what a caller asks.
    fn request_info(&self, head: &Parts) -> RequestInfo;

    /// Returns the headers of a request to a server. `caller` is what the caller sent.
    fn headers(&self, caller: &HeaderMap, send: &Forward<'_>) -> HeaderMap;

    /// Returns the request that reserves memory at a server, or renews the reservation.
    fn reserve(&self, server: &runner::Id, reservation: &Reservation) -> Request<Full<Bytes>>;

    /// Returns the request that ends a reservation at a server.
    fn release(&self, server: &runner::Id, ticket: &str) -> Request<Full<Bytes>>;

    /// Reads the head of a server's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer;

    /// Returns the headers of an answer that concern the caller.
    fn answer_headers(&self, server: &HeaderMap) -> HeaderMap;

    /// Reads a configuration document.
    ///
    /// # Errors
    ///
    /// Fails when the document is not one, naming what is wrong.
    fn config(&self, document: &[u8]) -> Result<Config, Unreadable>;
}
