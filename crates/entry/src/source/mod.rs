//! Where the accepted configuration comes from.
//!
//! A few daemons of the availability zone watch the platform's store; every daemon compares
//! versions with its peers. Whoever learns a newer version puts it in force and sends it on.

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

/// Time between runs of the spread's timers.
const TICK: Duration = Duration::from_millis(250);

/// Follows the accepted configuration until the daemon stops.
pub async fn run(daemon: Daemon) {
    let stopped = daemon.stopped().clone();
    tokio::select! {
        () = tick(&daemon) => {}
        () = watch::run(&daemon) => {}
        () = stopped.cancelled() => {}
    }
}

async fn tick(daemon: &Daemon) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        finish(daemon, daemon.spread().tick(daemon.now()));
    }
}

/// Takes a frame of a peer; returns false when it is not about configuration.
pub fn take(daemon: &Daemon, from: &str, body: &Body) -> bool {
    match daemon.spread().handle_frame(from, body, daemon.now()) {
        Ok(Some(task)) => finish(daemon, task),
        Ok(None) => return false,
        Err(error) => log::warn!(peer = from; "configuration was dropped: {error}"),
    }
    true
}

/// Puts in force a configuration that the store holds now.
pub fn accept(daemon: &Daemon, configuration: &Configuration) {
    let items = Items::of(configuration);
    let whole = Arc::new(Delta::whole(configuration.version, &items));
    let now = daemon.now();
    finish(daemon, daemon.spread().handle_store_delta(&whole, now, now));
}

/// Does what the spread asks for.
fn finish(daemon: &Daemon, task: Task) {
    if let Some(configuration) = task.adopt {
        put_in_force(daemon, &configuration);
    }
    if task.read_store {
        tokio::spawn(watch::read_whole(daemon.clone()));
    }
}

/// Puts a configuration in force when it is newer than the present one.
fn put_in_force(daemon: &Daemon, configuration: &Configuration) {
    let version = configuration.version;
    let taken = daemon.snapshots().send_if_modified(|present| {
        if version <= present.configuration().version {
            return false;
        }
        *present = Arc::new(Snapshot::new(configuration.clone()));
        true
    });
    if taken {
        daemon.runners().follow(daemon, &daemon.snapshot());
        log::info!(version:% = version; "configuration in force");
    }
}
