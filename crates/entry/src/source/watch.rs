//! The watch on the platform's store.

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
use crate::source::finish;

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Pause of a daemon that is not among the watchers before it looks again.
const OTHERS_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// What the watch saw last.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    /// Version of the store to watch after; `None` before the first read.
    after: Option<u64>,
    version: Version,
}

/// Watches while this daemon is among the watchers of its availability zone.
pub async fn run(daemon: &Daemon) {
    let mut seen = Seen::default();
    loop {
        if !daemon.peers().is_watcher(daemon) {
            seen = Seen::default();
            sleep(OTHERS_PAUSE).await;
            continue;
        }
        match round(daemon, seen).await {
            Ok(next) => seen = next,
            Err(error) => {
                log::debug!("configuration was not watched: {error}");
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Reads or waits once.
async fn round(daemon: &Daemon, seen: Seen) -> Result<Seen, platform::Error> {
    let store = Store::new(daemon.platform().clone());
    let asked_at = daemon.now();
    let Some(after) = seen.after else {
        let stored = store.manifest().await?;
        take(daemon, &stored.manifest, asked_at);
        let version = stored.manifest.version;
        return Ok(Seen { after: Some(stored.condition.unwrap_or_default()), version });
    };
    let (after, manifest) = store.watch(after, WATCH_WAIT).await?;
    let version = manifest.as_ref().map_or(seen.version, |manifest| manifest.version);
    match manifest {
        Some(manifest) => take(daemon, &manifest, asked_at),
        None if after.is_some() => {
            finish(daemon, daemon.spread().confirm_from_store(version, asked_at));
        }
        None => {}
    }
    Ok(Seen { after, version })
}

/// Takes a manifest that the store held when asked at `asked_at`.
fn take(daemon: &Daemon, manifest: &Manifest, asked_at: Moment) {
    let task = match &manifest.delta {
        Some(delta) => {
            daemon.spread().handle_store_delta(&Arc::new(delta.clone()), asked_at, daemon.now())
        }
        None => daemon.spread().confirm_from_store(manifest.version, asked_at),
    };
    finish(daemon, task);
}

/// Reads the manifest and all its shards.
pub async fn read_whole(daemon: Daemon) {
    let store = Store::new(daemon.platform().clone());
    let asked_at = daemon.now();
    let manifest = match store.manifest().await {
        Ok(stored) => stored.manifest,
        Err(error) => {
            log::debug!("manifest was not read: {error}");
            return;
        }
    };
    match store.items(&manifest).await {
        Ok(items) => {
            let whole = Arc::new(Delta::whole(manifest.version, &items));
            finish(&daemon, daemon.spread().handle_store_delta(&whole, asked_at, daemon.now()));
        }
        Err(error) => log::warn!(version:% = manifest.version; "shards were not read: {error}"),
    }
}
