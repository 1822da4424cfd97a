//! Watches the platform's store for new configurations.

use std::sync::Arc;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_clients::configuration::Store;
use kumquattiller_clients::platform;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use kumquattiller_inventory::shard::Manifest;
use tokio::time::sleep;

use crate::Daemon;
use crate::source::run_task;

/// How long the store may hold one watch call open without a change.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Pause before a daemon that is not a watcher checks again whether it has become one.
const NON_WATCHER_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failed store call.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// The position that the watch has reached.
#[derive(Debug, Clone, Copy, Default)]
struct Cursor {
    /// Store version after which to watch; `None` if the manifest must be read first.
    after: Option<u64>,
    /// Configuration version of the last manifest that was read.
    version: Version,
}

/// Watches while this daemon is among the watchers of its availability zone.
pub async fn run(daemon: &Daemon) {
    let mut cursor = Cursor::default();
    loop {
        if !daemon.peers().is_watcher(daemon) {
            cursor = Cursor::default();
            sleep(NON_WATCHER_PAUSE).await;
            continue;
        }
        match poll_store(daemon, cursor).await {
            Ok(next) => cursor = next,
            Err(error) => {
                log::debug!("failed to watch the configuration: {error}");
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Reads the manifest if the cursor is at the start, else waits once for a change of it.
async fn poll_store(daemon: &Daemon, cursor: Cursor) -> Result<Cursor, platform::Error> {
    let store = Store::new(daemon.platform().clone());
    let asked_at = daemon.now();
    let Some(after) = cursor.after else {
        let stored = store.manifest().await?;
        handle_manifest(daemon, &stored.manifest, asked_at);
        let version = stored.manifest.version;
        return Ok(Cursor { after: Some(stored.store_version.unwrap_or_default()), version });
    };
    let (after, manifest) = store.watch(after, WATCH_WAIT).await?;
    let version = manifest.as_ref().map_or(cursor.version, |manifest| manifest.version);
    match manifest {
        Some(manifest) => handle_manifest(daemon, &manifest, asked_at),
        None if after.is_some() => {
            run_task(daemon, daemon.spread().confirm_from_store(version, asked_at));
        }
        None => {}
    }
    Ok(Cursor { after, version })
}

/// Handles a manifest from a store call that was sent at `asked_at`.
fn handle_manifest(daemon: &Daemon, manifest: &Manifest, asked_at: Moment) {
    let task = match &manifest.delta {
        Some(delta) => {
            daemon.spread().handle_store_delta(&Arc::new(delta.clone()), asked_at, daemon.now())
        }
        None => daemon.spread().confirm_from_store(manifest.version, asked_at),
    };
    run_task(daemon, task);
}

/// Reads the manifest and all its shards.
pub async fn read_all(daemon: Daemon) {
    let store = Store::new(daemon.platform().clone());
    let asked_at = daemon.now();
    let manifest = match store.manifest().await {
        Ok(stored) => stored.manifest,
        Err(error) => {
            log::debug!("failed to read the configuration manifest: {error}");
            return;
        }
    };
    match store.items(&manifest).await {
        Ok(items) => {
            let whole = Arc::new(Delta::full(manifest.version, &items));
            run_task(&daemon, daemon.spread().handle_store_delta(&whole, asked_at, daemon.now()));
        }
        Err(error) => log::warn!(version:% = manifest.version; "failed to read shards: {error}"),
    }
}
