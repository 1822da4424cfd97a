use bytes::Bytes;
use kumquattiller_base::account;
use kumquattiller_base::deadline::Deadline;
use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::request;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_telemetry::traces;

/// A request that was read, authenticated and given a deadline.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// The request id.
    pub id: request::Id,
    /// The client account.
    pub account: account::Id,
    /// The account's priority under overload; 0 is served first.
    pub rank: account::Rank,
    /// The service.
    pub service: service::Name,
    /// The model; absent for plain services.
    pub model: Option<service::Model>,
    /// HTTP method of the backend call.
    pub method: String,
    /// Path of the backend call.
    pub path: String,
    /// Size of the prompt, in tokens.
    pub prompt_tokens: Tokens,
    /// Upper limit on the tokens to generate.
    pub max_tokens: Tokens,
    /// Whether the caller reads the answer as a stream. A streamed answer can be resumed.
    pub streamed: bool,
    /// Whether the request can safely run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<request::Key>,
    /// When the request must have its outcome.
    pub deadline: Deadline,
    /// Fingerprint of the request's content; equal for a repeated call with the same content.
    pub fingerprint: Fingerprint,
    /// Hashes of the prompt's prefix blocks.
    pub block_hashes: Vec<u64>,
    /// When the request arrived.
    pub arrived_at: Moment,
    /// The trace context under which the request's spans are recorded.
    pub trace: traces::Context,
    /// The prompt's text, or the body of a plain call.
    pub body: Bytes,
}
