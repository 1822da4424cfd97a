//! An accepted configuration reaches every process and never reverts.

use std::path::PathBuf;
use std::process::Output;
use std::time::Duration;

use kumquattiller_inventory::Configuration;
use kumquattiller_link::Identity;
use kumquattiller_link::Link;
use kumquattiller_support::caller::Caller;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::MODEL;
use kumquattiller_support::relay::Mode;
use kumquattiller_support::wait;
use serde_json::Value;
use serde_json::json;
use tokio::process::Command;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::support::fleet;

/// Longest time from the acceptance of a version until every process has it in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);
/// Longest time until the VM list shows a new VM.
const VM_LIST_LIMIT: Duration = Duration::from_secs(15);
/// Longest time for which a daemon stays ready without confirmation of its configuration, plus 1 s
/// for the test itself.
const STALE_LIMIT: Duration = Duration::from_secs(12);

/// Returns the fleet's configuration with the rule `loads_per_minute`, the maximum rate of model
/// loads, set to `loads`.
fn with_loads_per_minute(fleet: &Fleet, loads: u32) -> Configuration {
    let mut configuration = fleet.configuration.clone();
    configuration.rules.loads_per_minute = loads;
    configuration
}

/// Writes register and rules to files and returns the command-line options for them.
fn write_files(fleet: &Fleet, name: &str, configuration: &Configuration) -> Vec<String> {
    let mut options = vec!["--platform".to_owned(), fleet.platform.url()];
    let register = serde_json::to_value(&configuration.register).expect("register is JSON");
    let rules = serde_json::to_value(&configuration.rules).expect("rules are JSON");
    for (option, value) in [("--register", register), ("--rules", rules)] {
        let file: PathBuf = fleet.folder.join(format!("{name}{option}.json"));
        std::fs::write(&file, value.to_string()).expect("file can be written");
        options.extend([option.to_owned(), file.display().to_string()]);
    }
    options
}

async fn run_command(fleet: &Fleet, command: &str, options: &[String]) -> Output {
    let mut process = Command::new(&fleet.binaries.entry);
    process.arg(command).args(options).output().await.expect("program can be run")
}

async fn apply(fleet: &Fleet, loads: u32) -> Output {
    let options =
        write_files(fleet, &format!("apply-{loads}"), &with_loads_per_minute(fleet, loads));
    run_command(fleet, "apply", &options).await
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Applies a changed configuration and returns the accepted version.
async fn apply_and_get_version(fleet: &Fleet, loads: u32) -> u64 {
    let output = apply(fleet, loads).await;
    assert!(output.status.success(), "{}", to_text(&output.stderr));
    let line = to_text(&output.stdout);
    line.trim().rsplit(' ').next().and_then(|n| n.parse().ok()).expect("a version is printed")
}

/// Returns the version that the process at a link address holds.
async fn version_at(address: std::net::SocketAddr) -> Option<u64> {
    let identity = Identity {
        name: "operator-test".to_owned(),
        incarnation: 1,
        zone: String::new(),
        role: "operator".to_owned(),
    };
    Link::connect(address, &identity, 0).await.ok().map(|link| link.config_version)
}

/// Waits until every process has `version` in force.
async fn wait_until_in_force(fleet: &Fleet, version: u64) {
    let entries = fleet.entries.iter().map(|entry| entry.link);
    let runners = fleet.runners.iter().map(|runner| runner.link);
    for address in entries.chain(runners) {
        wait::until("the version in force", IN_FORCE_LIMIT, async || {
            version_at(address).await == Some(version)
        })
        .await;
    }
}

async fn is_ready(fleet: &Fleet, index: usize) -> bool {
    fleet.caller(index).probe("/readyz").await == Some(200)
}

/// Waits until a daemon reports that it is ready.
async fn wait_until_ready(caller: &Caller) {
    wait::until("readiness", Duration::from_secs(10), async || {
        caller.probe("/readyz").await == Some(200)
    })
    .await;
}

/// Asserts that a daemon serves a request.
async fn assert_serves(caller: &Caller) {
    let answer = caller.complete(&Caller::completion(MODEL, "gas", 2, false)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_version_is_in_force_everywhere() {
    let fleet = fleet().entries(4).start().await;
    let start = Instant::now();
    let version = apply_and_get_version(&fleet, 7).await;
    wait_until_in_force(&fleet, version).await;
    println!("in force everywhere after {:?} with apply", start.elapsed());
    let options = ["--platform".to_owned(), fleet.platform.url(), "--json".to_owned()];
    let mut status = Value::Null;
    wait::until("the list of VMs", VM_LIST_LIMIT, async || {
        let output = run_command(&fleet, "status", &options).await;
        status = serde_json::from_slice(&output.stdout).expect("status is JSON");
        status["processes"].as_array().is_some_and(|processes| processes.len() == 6)
    })
    .await;
    assert_eq!(status["accepted"], version);
    let processes = status["processes"].as_array().expect("processes are listed");
    assert!(processes.iter().all(|process| process["version"] == version), "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_files_change_nothing_and_other_files_differ() {
    let fleet = fleet().start().await;
    let options = write_files(&fleet, "same", &fleet.configuration);
    let same = run_command(&fleet, "diff", &options).await;
    assert_eq!(same.status.code(), Some(0));
    let output = run_command(&fleet, "apply", &options).await;
    assert_eq!(to_text(&output.stdout), "no change; version 1 stands\n");
    let other = run_command(
        &fleet,
        "diff",
        &write_files(&fleet, "other", &with_loads_per_minute(&fleet, 7)),
    )
    .await;
    assert_eq!(other.status.code(), Some(7));
    let expected = "~ settings loads_per_minute\n    6 -> 7\n0 added, 0 removed, 1 changed\n";
    assert_eq!(to_text(&other.stdout), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_applies_are_accepted_in_sequence_or_report_a_conflict() {
    let fleet = fleet().start().await;
    fleet.platform.set_slowness(Duration::from_millis(30));
    let outputs = futures::future::join_all((10..16).map(|loads| apply(&fleet, loads))).await;
    let mut accepted_versions: Vec<u64> = Vec::new();
    for output in &outputs {
        match output.status.code() {
            Some(0) => accepted_versions
                .push(to_text(&output.stdout).trim().rsplit(' ').next().unwrap().parse().unwrap()),
            Some(4) => {
                let message = to_text(&output.stderr);
                assert!(message.contains("~ settings loads_per_minute"), "{message}");
            }
            code => panic!("exit code {code:?}: {}", to_text(&output.stderr)),
        }
    }
    accepted_versions.sort_unstable();
    let expected: Vec<u64> = (2..2 + accepted_versions.len() as u64).collect();
    assert_eq!(accepted_versions, expected, "each accepted change has a version of its own");
    assert!(accepted_versions.len() < outputs.len(), "some conflicted");
    wait_until_in_force(&fleet, *accepted_versions.last().expect("one wins")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_commit_succeeds_when_the_store_responses_are_lost() {
    let fleet = fleet().start().await;
    // The store drops the responses to both writes of the commit: the shard and the manifest.
    fleet.platform.lose_answers(2);
    let version = apply_and_get_version(&fleet, 7).await;
    assert_eq!(version, 2);
    wait_until_in_force(&fleet, version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_during_a_store_outage_fails_and_changes_nothing() {
    let fleet = fleet().start().await;
    fleet.platform.set_outage(true);
    let output = apply(&fleet, 7).await;
    assert_eq!(output.status.code(), Some(5));
    fleet.platform.set_outage(false);
    sleep(Duration::from_secs(1)).await;
    wait_until_in_force(&fleet, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_started_during_a_store_outage_gets_the_version_of_its_peers() {
    let mut fleet = fleet().entries(3).start().await;
    let version = apply_and_get_version(&fleet, 7).await;
    wait_until_in_force(&fleet, version).await;
    // The daemons learn each other's addresses from the VM list, which lags.
    sleep(VM_LIST_LIMIT).await;
    fleet.entries[0].program.kill().await;
    let platform_url = fleet.platform.url();
    fleet.platform.set_outage(true);
    let binaries = fleet.binaries.clone();
    fleet.entries[0].restart(&binaries);
    // The daemon cannot read the VM list during the outage. It learns of its peers only because
    // they reconnect to its previous address.
    let caller = fleet.caller(0);
    wait_until_ready(&caller).await;
    assert_eq!(version_at(fleet.entries[0].link).await, Some(version), "outage of {platform_url}");
    assert_serves(&caller).await;
}

/// Guards against a daemon that reports ready before its first links are open, and refuses the
/// requests that the load balancer then sends to it. Seen once under load.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_is_not_ready_before_its_first_links() {
    let mut fleet = fleet().entries(1).start().await;
    let slow = Mode { delay: Duration::from_millis(400), ..Mode::default() };
    fleet.runners.iter().for_each(|runner| runner.relay.set(slow));
    fleet.entries[0].program.kill().await;
    let binaries = fleet.binaries.clone();
    fleet.entries[0].restart(&binaries);
    let caller = fleet.caller(0);
    wait_until_ready(&caller).await;
    assert_serves(&caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_frozen_during_updates_is_not_ready_with_an_old_version() {
    let fleet = fleet().entries(3).start().await;
    fleet.entries[0].program.freeze();
    let mut version = 0;
    for loads in 20..25 {
        version = apply_and_get_version(&fleet, loads).await;
    }
    sleep(STALE_LIMIT).await;
    fleet.entries[0].program.thaw();
    let caller = fleet.caller(0);
    let start = Instant::now();
    while start.elapsed() < IN_FORCE_LIMIT {
        let ready = caller.probe("/readyz").await == Some(200);
        let Some(held) = version_at(fleet.entries[0].link).await else {
            continue;
        };
        assert!(!ready || held == version, "ready with version {held} of {version}");
    }
    assert!(is_ready(&fleet, 0).await);
    wait_until_in_force(&fleet, version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_reaches_neither_store_nor_peers_is_not_ready() {
    let mut fleet = fleet().entries(1).start().await;
    assert!(is_ready(&fleet, 0).await);
    fleet.platform.set_outage(true);
    for runner in &mut fleet.runners {
        runner.program.kill().await;
    }
    let caller = fleet.caller(0);
    wait::until("not ready", STALE_LIMIT + IN_FORCE_LIMIT, async || {
        caller.probe("/readyz").await == Some(503)
    })
    .await;
    let answer = caller.complete(&Caller::completion(MODEL, "gas", 2, false)).await;
    assert_eq!((answer.status, answer.kind()), (503, "no_configuration"));
    fleet.platform.set_outage(false);
    wait::until("ready again", IN_FORCE_LIMIT, async || is_ready(&fleet, 0).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_during_a_store_outage() {
    let fleet = fleet().start().await;
    fleet.platform.set_outage(true);
    let body = Caller::completion(MODEL, "gas", 2, false);
    let start = Instant::now();
    while start.elapsed() < STALE_LIMIT + Duration::from_secs(3) {
        for index in 0..2 {
            assert!(is_ready(&fleet, index).await);
            let answer = fleet.caller(index).complete(&body).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        sleep(Duration::from_millis(200)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_files_are_refused_whole() {
    let fleet = fleet().start().await;
    let mut configuration = with_loads_per_minute(&fleet, 0);
    configuration.register.accounts[1].credential = String::new();
    let options = write_files(&fleet, "wrong", &configuration);
    let output = run_command(&fleet, "apply", &options).await;
    assert_eq!(output.status.code(), Some(3));
    let message = to_text(&output.stderr);
    assert!(message.contains("field accounts[1].credential"), "{message}");
    assert!(message.contains("field loads_per_minute"), "{message}");
    let list = fleet.platform.list("configuration");
    assert_eq!(list.objects[0].value["version"], json!(1));
}
