use kumquattiller_base::account;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its id.
    pub id: account::Id,
    /// The bearer token that its callers send.
    pub credential: String,
}
