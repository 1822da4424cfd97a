use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_dialect::platform::Phase;
use kumquattiller_dialect::platform::Vm;
use kumquattiller_wire::link;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::Daemon;
use crate::peers::dialer;
use crate::peers::select::ENTRY_ROLE;
use crate::peers::select::Endpoint;
use crate::peers::select::select_peers;

/// Time between rounds of the loop. A watcher of the availability zone reads the VM list in each.
const WATCHER_INTERVAL: Duration = Duration::from_millis(500);
/// Time between reads of the VM list by any other daemon.
const NON_WATCHER_INTERVAL: Duration = Duration::from_secs(10);

/// Follows the platform's list of VMs, runs gossip rounds and keeps the links to other entry
/// daemons until the daemon stops. While the list cannot be read, the last one read stays in use.
pub async fn run(daemon: Daemon) {
    let mut dialers = HashMap::new();
    let mut vms = Vec::new();
    let mut next_read = Instant::now();
    while !daemon.stopped().is_cancelled() {
        let is_watcher = daemon.peers().is_watcher(&daemon);
        if is_watcher || Instant::now() >= next_read {
            next_read = Instant::now() + NON_WATCHER_INTERVAL;
            match daemon.platform().vms().await {
                Ok(list) => {
                    vms = list.vms;
                    daemon.members().seed(&vms, daemon.now());
                }
                Err(error) => log::debug!("failed to read the list of VMs: {error}"),
            }
        }
        for (to, body) in daemon.members().run_round(daemon.now()) {
            daemon.peers().try_send(&to, body);
        }
        update_links(&daemon, &with_live_members(&daemon, &vms), &mut dialers);
        tokio::select! {
            () = sleep(WATCHER_INTERVAL) => {}
            () = daemon.stopped().cancelled() => {}
        }
    }
    dialers.into_values().for_each(|dialer| dialer.abort());
}

/// Returns the listed VMs and the live members that the list does not contain yet.
fn with_live_members(daemon: &Daemon, listed: &[Vm]) -> Vec<Vm> {
    let mut vms = listed.to_vec();
    for member in daemon.members().live() {
        if listed.iter().all(|vm| vm.name != member.name) {
            vms.push(member);
        }
    }
    vms
}

/// Opens links to new daemons, closes links to daemons that are no longer listed, and handles the
/// VMs that are leaving.
fn update_links(daemon: &Daemon, vms: &[Vm], dialers: &mut HashMap<Endpoint, AbortHandle>) {
    let settings = daemon.settings();
    let others = vms.iter().filter(|vm| vm.role == ENTRY_ROLE && vm.name != settings.id.as_str());
    daemon.limits().set_daemon_count(others.count() + 1);
    let is_linked = |name: &str| daemon.peers().is_linked(name);
    let selected = select_peers(settings.id.as_str(), settings.zone.as_str(), vms, is_linked);
    dialers.retain(|peer, dialer| {
        let is_listed = vms.iter().any(|vm| peer.matches(vm));
        if !is_listed {
            dialer.abort();
        }
        is_listed
    });
    for peer in selected {
        dialers.entry(peer).or_insert_with_key(|peer| {
            tokio::spawn(dialer::run(daemon.clone(), peer.clone())).abort_handle()
        });
    }
    for vm in vms.iter().filter(|vm| vm.phase == Phase::Leaving) {
        daemon.on_leaving(&link::Leave { runner: vm.name.clone(), incarnation: 0 });
    }
}
