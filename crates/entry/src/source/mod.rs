//! Keeps the accepted configuration up to date.
//!
//! A few daemons of each availability zone watch the platform's store; every daemon compares
//! versions with its peers. A daemon that receives a newer version applies it and forwards it.

mod watch;

use std::sync::Arc;
use std::time::Duration;

use kumquattiller_clients::configuration::Task;
use kumquattiller_inventory::Configuration;
use kumquattiller_inventory::diff::Delta;
use kumquattiller_inventory::section::Items;
use kumquattiller_wire::Body;
use tokio::time::interval;

use crate::Daemon;
use crate::snapshot::Snapshot;

/// Time between runs of the timers of the configuration spread.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the accepted configuration until the daemon stops.
pub async fn run(daemon: Daemon) {
    let stopped = daemon.stopped().clone();
    tokio::select! {
        () = run_timers(&daemon) => {}
        () = watch::run(&daemon) => {}
        () = stopped.cancelled() => {}
    }
}

async fn run_timers(daemon: &Daemon) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        run_task(daemon, daemon.spread().tick(daemon.now()));
    }
}

/// Handles a frame from a peer. Returns `false` if it is not about configuration.
pub fn handle_frame(daemon: &Daemon, from: &str, body: &Body) -> bool {
    match daemon.spread().handle_frame(from, body, daemon.now()) {
        Ok(Some(task)) => run_task(daemon, task),
        Ok(None) => return false,
        Err(error) => log::warn!(peer = from; "dropped an invalid configuration frame: {error}"),
    }
    true
}

/// Applies a configuration as if it had just been read whole from the store.
pub fn apply_stored(daemon: &Daemon, configuration: &Configuration) {
    let items = Items::of(configuration);
    let whole = Arc::new(Delta::full(configuration.version, &items));
    let now = daemon.now();
    run_task(daemon, daemon.spread().handle_store_delta(&whole, now, now));
}

/// Carries out a task of the configuration spread.
fn run_task(daemon: &Daemon, task: Task) {
    if let Some(configuration) = task.adopt {
        apply(daemon, &configuration);
    }
    if task.read_store {
        tokio::spawn(watch::read_all(daemon.clone()));
    }
}

/// Applies a configuration if it is newer than the current one.
fn apply(daemon: &Daemon, configuration: &Configuration) {
    let version = configuration.version;
    let applied = daemon.snapshots().send_if_modified(|current| {
        if version <= current.configuration().version {
            return false;
        }
        *current = Arc::new(Snapshot::new(configuration.clone()));
        true
    });
    if applied {
        daemon.runners().sync_links(daemon, &daemon.snapshot());
        log::info!(version:% = version; "configuration in force");
    }
}
