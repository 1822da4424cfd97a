//! Entry daemons discover each other from the VM list, which lags, and track each other by gossip.

use std::time::Duration;

use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::wait;

use crate::support::fleet;

/// Longest time until all daemons have links to each other, including the lag of the VM list.
const LINK_LIMIT: Duration = Duration::from_secs(20);

/// Waits until each daemon of `indexes` has links to `count` other daemons.
async fn wait_until_linked(fleet: &Fleet, indexes: &[usize], count: usize) {
    for index in indexes {
        wait::until("links between daemons", LINK_LIMIT, async || {
            fleet.link_count(*index, "entry").await == Some(count)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_listed_daemon_is_enough_to_find_all() {
    let fleet = fleet().entries(4).listed(1).start().await;
    wait_until_linked(&fleet, &[0, 1, 2, 3], 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_is_removed_and_rejoins_after_a_restart() {
    let mut fleet = fleet().entries(3).start().await;
    wait_until_linked(&fleet, &[0, 1, 2], 2).await;
    fleet.entries[2].program.kill().await;
    wait_until_linked(&fleet, &[0, 1], 1).await;
    let binaries = fleet.binaries.clone();
    fleet.entries[2].restart(&binaries);
    wait_until_linked(&fleet, &[0, 1, 2], 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_daemon_is_removed_and_rejoins_after_resuming() {
    let fleet = fleet().entries(3).start().await;
    wait_until_linked(&fleet, &[0, 1, 2], 2).await;
    fleet.entries[0].program.freeze();
    wait_until_linked(&fleet, &[1, 2], 1).await;
    fleet.entries[0].program.thaw();
    wait_until_linked(&fleet, &[0, 1, 2], 2).await;
}
