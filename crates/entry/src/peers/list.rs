use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_dialect::platform::Phase;
use kumquattiller_dialect::platform::Vm;
use kumquattiller_wire::link;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::Daemon;
use crate::peers::chosen::Chosen;
use crate::peers::chosen::ENTRY_ROLE;
use crate::peers::chosen::choose;
use crate::peers::dialer;

/// Time between reads of the list by the watchers of the availability zone.
const WATCHER_INTERVAL: Duration = Duration::from_millis(500);
/// Time between reads of the list by the other daemons.
const OTHERS_INTERVAL: Duration = Duration::from_secs(10);

/// Follows the platform's list of VMs until the daemon stops; while it cannot be read, the list
/// that was read last.
pub async fn run(daemon: Daemon) {
    let mut dialers = HashMap::new();
    let mut vms = Vec::new();
    let mut next_read = Instant::now();
    while !daemon.stopped().is_cancelled() {
        let watches = daemon.peers().is_watcher(&daemon);
        if watches || Instant::now() >= next_read {
            next_read = Instant::now() + OTHERS_INTERVAL;
            match daemon.platform().vms().await {
                Ok(list) => {
                    vms = list.vms;
                    daemon.members().seed(&vms, daemon.now());
                }
                Err(error) => log::debug!("list of VMs was not read: {error}"),
            }
        }
        for (to, body) in daemon.members().round(daemon.now()) {
            daemon.peers().send(&to, body);
        }
        follow(&daemon, &known(&daemon, &vms), &mut dialers);
        tokio::select! {
            () = sleep(WATCHER_INTERVAL) => {}
            () = daemon.stopped().cancelled() => {}
        }
    }
    dialers.into_values().for_each(|dialer| dialer.abort());
}

/// Returns the VMs of the list and the live members that it does not show yet.
fn known(daemon: &Daemon, listed: &[Vm]) -> Vec<Vm> {
    let mut vms = listed.to_vec();
    for member in daemon.members().live() {
        if listed.iter().all(|vm| vm.name != member.name) {
            vms.push(member);
        }
    }
    vms
}

/// Opens links to new daemons, closes those to daemons no longer listed, and passes on which VMs
/// are leaving.
fn follow(daemon: &Daemon, vms: &[Vm], dialers: &mut HashMap<Chosen, AbortHandle>) {
    let settings = daemon.settings();
    let others = vms.iter().filter(|vm| vm.role == ENTRY_ROLE && vm.name != settings.id.as_str());
    daemon.limits().set_daemon_count(others.count() + 1);
    let is_linked = |name: &str| daemon.peers().is_linked(name);
    let chosen = choose(settings.id.as_str(), settings.zone.as_str(), vms, is_linked);
    dialers.retain(|peer, dialer| {
        let stays = vms.iter().any(|vm| peer.is(vm));
        if !stays {
            dialer.abort();
        }
        stays
    });
    for peer in chosen {
        dialers.entry(peer).or_insert_with_key(|peer| {
            tokio::spawn(dialer::run(daemon.clone(), peer.clone())).abort_handle()
        });
    }
    for vm in vms.iter().filter(|vm| vm.phase == Phase::Leaving) {
        daemon.on_leaving(&link::Leave { runner: vm.name.clone(), incarnation: 0 });
    }
}
