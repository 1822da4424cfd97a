use kumquattiller_base::account;
use kumquattiller_base::rate::TokensPerSecond;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Rank and limit of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The account.
    pub account: account::Id,
    /// Its rank under overload; 0 is served first.
    #[serde(default)]
    pub rank: account::Rank,
    /// Limit over the whole fleet of prompt and generated tokens together; absent for no limit.
    #[serde(default)]
    pub tokens_per_second: Option<TokensPerSecond>,
}
