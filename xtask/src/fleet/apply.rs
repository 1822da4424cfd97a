use kumquattiller_clients::Transport;
use kumquattiller_clients::configuration::Store;
use kumquattiller_clients::configuration::commit;
use kumquattiller_clients::platform::Client;
use kumquattiller_inventory::Configuration;
use kumquattiller_inventory::section::Items;
use kumquattiller_rollout::commit::Outcome as Ending;

use crate::Outcome;

/// Makes a configuration the accepted one.
///
/// # Errors
///
/// Fails when the platform does not accept it.
pub async fn apply(platform_url: &str, configuration: &Configuration) -> Outcome {
    let store = Store::new(Client::new(Transport::new(), platform_url));
    match commit(&store, Items::of(configuration)).await {
        Ending::Accepted(_) | Ending::Unchanged(_) => Ok(()),
        ending => Err(ending.to_string().into()),
    }
}
