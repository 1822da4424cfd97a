//! The interface to a platform's protocol.
//!
//! An adapter implements [`Dialect`], which translates the platform's messages between callers,
//! backend servers and the configuration store into the types of this module.

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

/// Size of the prompt of a request to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Number of prompt tokens.
    pub tokens: Tokens,
    /// Maximum number of output tokens.
    pub max_output: Tokens,
}

/// Metadata of a caller's request, parsed from its head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of the request, used in logs and to match the response.
    pub id: String,
    /// API key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The prompt, if the request is for an engine.
    pub prompt: Option<Prompt>,
}

/// A server that prefills a part of a prompt for another server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Address for requests.
    pub address: SocketAddr,
    /// Ticket of the reservation, if the helper also holds a part of the prompt in memory.
    pub ticket: Option<String>,
}

/// A reservation of memory at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Id that the daemon gives the reservation.
    pub ticket: String,
    /// Size of the reservation.
    pub tokens: Tokens,
    /// How long the reservation lasts after the server has received it.
    pub hold: Duration,
}

/// Data that the gateway adds to a request when forwarding it to a server.
#[derive(Debug, Clone, Copy)]
pub struct Forward<'a> {
    /// Id of the intended server; any other server rejects the request.
    pub server: &'a runner::Id,
    /// Time remaining for the server to respond.
    pub left: Duration,
    /// Client account of the caller.
    pub account: Option<&'a account::Id>,
    /// Servers that prefill parts of the prompt.
    pub helpers: &'a [Helper],
    /// Scheduling priority at the server; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub resume_after: Option<&'a [u8]>,
}

/// Metadata of a server's response, parsed from its head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Id of the request that it belongs to, if stated.
    pub id: Option<String>,
    /// Whether it carries a server's signature.
    pub signed: bool,
    /// Whether it proves that the request was not executed.
    pub not_run: bool,
    /// Address of the helper that caused the failure, if it is not the responding server itself.
    pub failed_server: Option<SocketAddr>,
    /// How long the server keeps the connection open.
    pub keep_alive: Option<Duration>,
}

/// An error for a message that cannot be parsed, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable(pub String);

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Unreadable {}

/// Translates between a platform's messages and the gateway's types.
pub trait Dialect {
    /// Returns the path of the load balancer's readiness check.
    fn ready_path(&self) -> &str;

    /// Parses the head of a caller's request.
    fn request_info(&self, head: &Parts) -> RequestInfo;

    /// Returns the headers of a request to a server. `caller` holds the headers from the caller.
    fn headers(&self, caller: &HeaderMap, forward: &Forward<'_>) -> HeaderMap;

    /// Returns a request that creates or renews a reservation at a server.
    fn reserve(&self, server: &runner::Id, reservation: &Reservation) -> Request<Full<Bytes>>;

    /// Returns a request that releases a reservation at a server.
    fn release(&self, server: &runner::Id, ticket: &str) -> Request<Full<Bytes>>;

    /// Parses the head of a server's response.
    fn response_info(&self, status: StatusCode, headers: &HeaderMap) -> ResponseInfo;

    /// Returns the headers of a server's response that are passed on to the caller.
    fn response_headers(&self, server: &HeaderMap) -> HeaderMap;

    /// Parses a configuration document.
    ///
    /// # Errors
    ///
    /// Returns an error with the reason if the document is invalid.
    fn config(&self, document: &[u8]) -> Result<Config, Unreadable>;
}
