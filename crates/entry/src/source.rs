//! Where the accepted configuration comes from.

use std::sync::Arc;
use std::time::Duration;

use kumquattiller_inventory::Configuration;
use tokio::time::sleep;

use crate::Daemon;
use crate::snapshot::Snapshot;

/// Kind of the object that holds the configuration.
pub const KIND: &str = "configuration";
/// Name of the object that holds the configuration.
pub const NAME: &str = "current";
/// Pause between reads.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Takes each newer configuration from the platform until the daemon stops.
pub async fn run(daemon: Daemon) {
    while !daemon.stopped().is_cancelled() {
        match daemon.platform().get::<Configuration>(KIND, NAME).await {
            Ok(Some(stored)) => take(&daemon, stored.value),
            Ok(None) => {}
            Err(error) => log::debug!("configuration was not read: {error}"),
        }
        tokio::select! {
            () = sleep(READ_PAUSE) => {}
            () = daemon.stopped().cancelled() => return,
        }
    }
}

/// Puts a configuration in force when it is newer than the present one.
pub fn take(daemon: &Daemon, configuration: Configuration) {
    let version = configuration.version;
    let taken = daemon.snapshots().send_if_modified(|present| {
        if version <= present.configuration().version {
            return false;
        }
        *present = Arc::new(Snapshot::new(configuration));
        true
    });
    if taken {
        daemon.runners().follow(daemon, &daemon.snapshot());
        log::info!(version:% = version; "configuration in force");
    }
}
