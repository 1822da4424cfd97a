use error_stack::ResultExt;
use kumquattiller_inventory::diff::Difference;

use crate::error;
use crate::error::Error;
use crate::ops::Files;
use crate::ops::store;

/// Returns the difference between the accepted configuration and the given files.
///
/// # Errors
///
/// Fails when the accepted configuration cannot be read.
pub async fn diff(platform_url: &str, files: &Files) -> error::Result<Difference> {
    let store = store::configuration_store(platform_url);
    let context = || Error::unreachable(format!("cannot read the store at {platform_url}"));
    let stored = store.manifest().await.change_context_lazy(context)?;
    let accepted = store.items(&stored.manifest).await.change_context_lazy(context)?;
    Ok(Difference::between(&accepted, &files.items()))
}
