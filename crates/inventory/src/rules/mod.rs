//! The rules: limits, deadlines and desired models for the entries of the register.

mod account;
mod desired;
mod request;
mod service;

use kumquattiller_base::size::Bytes;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

pub use account::Account;
pub use desired::Desired;
pub use desired::Versioned;
pub use request::Request;
pub use service::Service;

/// Default limit of the size of a request body, in bytes.
const DEFAULT_BODY_LIMIT: Bytes = Bytes::new(8 << 20);
/// Default limit of loads from the weight store over the whole fleet, per minute.
const DEFAULT_LOADS_PER_MINUTE: u32 = 6;

/// How the register is to be used.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Order and limits of client accounts; accounts without a rule come last, without limit.
    pub accounts: Vec<Account>,
    /// Calls that differ from the default, which is idempotent for models and non-idempotent for
    /// plain services' methods other than GET and HEAD.
    pub requests: Vec<Request>,
    /// Deadlines and weights of services.
    pub services: Vec<Service>,
    /// What engines are to have loaded.
    pub desired: Vec<Desired>,
    /// Largest body of a caller, in bytes.
    pub body_limit: Bytes,
    /// Loads from the weight store a minute, over the whole fleet.
    pub loads_per_minute: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            accounts: Vec::new(),
            requests: Vec::new(),
            services: Vec::new(),
            desired: Vec::new(),
            body_limit: DEFAULT_BODY_LIMIT,
            loads_per_minute: DEFAULT_LOADS_PER_MINUTE,
        }
    }
}
