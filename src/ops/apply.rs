use kumquattiller_clients::configuration::commit;
use kumquattiller_rollout::commit::Outcome;

use crate::error;
use crate::error::Code;
use crate::error::Error;
use crate::ops::Files;
use crate::ops::store;

/// Commits register and rules to the store as the accepted configuration.
///
/// # Errors
///
/// Fails when another operator's change was committed first, when the store cannot be reached, and
/// when it is unknown whether the change was accepted.
pub async fn apply(platform_url: &str, files: &Files) -> error::Result<Outcome> {
    let outcome = commit(&store::configuration_store(platform_url), files.items()).await;
    let code = match &outcome {
        Outcome::Accepted(_) | Outcome::Unchanged(_) => return Ok(outcome),
        Outcome::Conflict { difference, .. } => {
            let message = format!("{outcome}; the other operator's change:\n{difference}");
            return Err(Error::new(Code::Conflict, message).into());
        }
        Outcome::Unavailable | Outcome::Unknown => Code::Unreachable,
        Outcome::Corrupt => Code::Failed,
    };
    Err(Error::new(code, outcome.to_string()).into())
}
