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
    /// Its id.
    pub id: request::Id,
    /// The client account.
    pub account: account::Id,
    /// The account's rank under overload; 0 is served first.
    pub rank: account::Rank,
    /// The service.
    pub service: service::Name,
    /// The model; absent for plain services.
    pub model: Option<service::Model>,
    /// HTTP method of the backend call.
    pub method: String,
    /// Path of the backend call.
    pub path: String,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Most tokens to generate.
    pub max_tokens: Tokens,
    /// Whether the caller reads the answer as a stream, which it can resume.
    pub streamed: bool,
    /// Whether a repeat does no harm.
    pub idempotent: bool,
    /// The caller's key.
    pub key: Option<request::Key>,
    /// When it must have its outcome.
    pub deadline: Deadline,
    /// What it has in common with a repeat of itself.
    pub fingerprint: Fingerprint,
    /// Hashes of the prompt's prefix blocks.
    pub blocks: Vec<u64>,
    /// When it arrived.
    pub arrived: Moment,
    /// Where it stands in its trace.
    pub trace: traces::Context,
    /// The prompt's text, or the body of a plain call.
    pub body: Bytes,
}
