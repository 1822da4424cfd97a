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

/// Longest time from acceptance until a version is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);
/// Longest time until the list of VMs shows a new one.
const LIST_LIMIT: Duration = Duration::from_secs(15);
/// Longest time without confirmation in which a daemon stays ready, with a second for the test.
const STALE_LIMIT: Duration = Duration::from_secs(12);

/// Returns the fleet's configuration with `loads_per_minute` changed.
fn changed(fleet: &Fleet, loads: u32) -> Configuration {
    let mut configuration = fleet.configuration.clone();
    configuration.rules.loads_per_minute = loads;
    configuration
}

/// Writes register and rules and returns the options that name them.
fn files(fleet: &Fleet, name: &str, configuration: &Configuration) -> Vec<String> {
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

async fn run(fleet: &Fleet, command: &str, options: &[String]) -> Output {
    let mut process = Command::new(&fleet.binaries.entry);
    process.arg(command).args(options).output().await.expect("program can be run")
}

async fn apply(fleet: &Fleet, loads: u32) -> Output {
    let options = files(fleet, &format!("apply-{loads}"), &changed(fleet, loads));
    run(fleet, "apply", &options).await
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Applies and returns the accepted version.
async fn accepted(fleet: &Fleet, loads: u32) -> u64 {
    let output = apply(fleet, loads).await;
    assert!(output.status.success(), "{}", text(&output.stderr));
    let line = text(&output.stdout);
    line.trim().rsplit(' ').next().and_then(|n| n.parse().ok()).expect("a version is printed")
}

/// Returns the version that the process at a link address holds.
async fn version_at(address: std::net::SocketAddr) -> Option<u64> {
    let own = Identity {
        name: "operator-test".to_owned(),
        incarnation: 1,
        zone: String::new(),
        role: "operator".to_owned(),
    };
    Link::connect(address, &own, 0).await.ok().map(|link| link.config_version)
}

/// Waits until every process holds `version`.
async fn in_force(fleet: &Fleet, version: u64) {
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

/// Waits until a daemon says that it is ready.
async fn until_ready(caller: &Caller) {
    wait::until("readiness", Duration::from_secs(10), async || {
        caller.probe("/readyz").await == Some(200)
    })
    .await;
}

/// Asks that a daemon answers a request.
async fn assert_serves(caller: &Caller) {
    let answer = caller.complete(&Caller::completion(MODEL, "gas", 2, false)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_version_is_in_force_everywhere() {
    let fleet = fleet().entries(4).start().await;
    let start = Instant::now();
    let version = accepted(&fleet, 7).await;
    in_force(&fleet, version).await;
    println!("in force everywhere after {:?} with apply", start.elapsed());
    let options = ["--platform".to_owned(), fleet.platform.url(), "--json".to_owned()];
    let mut status = Value::Null;
    wait::until("the list of VMs", LIST_LIMIT, async || {
        let output = run(&fleet, "status", &options).await;
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
    let options = files(&fleet, "same", &fleet.configuration);
    let same = run(&fleet, "diff", &options).await;
    assert_eq!(same.status.code(), Some(0));
    let output = run(&fleet, "apply", &options).await;
    assert_eq!(text(&output.stdout), "no change; version 1 stands\n");
    let other = run(&fleet, "diff", &files(&fleet, "other", &changed(&fleet, 7))).await;
    assert_eq!(other.status.code(), Some(7));
    let expected = "~ settings loads_per_minute\n    6 -> 7\n0 added, 0 removed, 1 changed\n";
    assert_eq!(text(&other.stdout), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_racing_operators_wins() {
    let fleet = fleet().start().await;
    fleet.platform.set_slowness(Duration::from_millis(30));
    let outputs = futures::future::join_all((10..16).map(|loads| apply(&fleet, loads))).await;
    let mut won: Vec<u64> = Vec::new();
    for output in &outputs {
        match output.status.code() {
            Some(0) => {
                won.push(text(&output.stdout).trim().rsplit(' ').next().unwrap().parse().unwrap())
            }
            Some(4) => {
                let message = text(&output.stderr);
                assert!(message.contains("~ settings loads_per_minute"), "{message}");
            }
            code => panic!("exit code {code:?}: {}", text(&output.stderr)),
        }
    }
    won.sort_unstable();
    let expected: Vec<u64> = (2..2 + won.len() as u64).collect();
    assert_eq!(won, expected, "each winner made a version of its own");
    assert!(won.len() < outputs.len(), "some conflicted");
    in_force(&fleet, *won.last().expect("one wins")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_to_a_commit_is_read_back() {
    let fleet = fleet().start().await;
    // The shard's write and the manifest's both lose their answers.
    fleet.platform.lose_answers(2);
    let version = accepted(&fleet, 7).await;
    assert_eq!(version, 2);
    in_force(&fleet, version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_during_an_outage_changes_nothing() {
    let fleet = fleet().start().await;
    fleet.platform.set_outage(true);
    let output = apply(&fleet, 7).await;
    assert_eq!(output.status.code(), Some(5));
    fleet.platform.set_outage(false);
    sleep(Duration::from_secs(1)).await;
    in_force(&fleet, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_started_during_an_outage_takes_the_version_of_its_peers() {
    let mut fleet = fleet().entries(3).start().await;
    let version = accepted(&fleet, 7).await;
    in_force(&fleet, version).await;
    // The peers learn each other's addresses from the list, which lags.
    sleep(LIST_LIMIT).await;
    fleet.entries[0].program.kill().await;
    let outage = fleet.platform.url();
    fleet.platform.set_outage(true);
    let binaries = fleet.binaries.clone();
    fleet.entries[0].restart(&binaries);
    // The peers dial the daemon again at its old address; nothing else tells it of them.
    let caller = fleet.caller(0);
    until_ready(&caller).await;
    assert_eq!(version_at(fleet.entries[0].link).await, Some(version), "outage of {outage}");
    assert_serves(&caller).await;
}

/// Failed once beside load: a daemon was ready a moment before its first links were open, and refused
/// what the balancer sent it then.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_is_not_ready_before_its_first_links() {
    let mut fleet = fleet().entries(1).start().await;
    let slow = Mode { delay: Duration::from_millis(400), ..Mode::default() };
    fleet.runners.iter().for_each(|runner| runner.relay.set(slow));
    fleet.entries[0].program.kill().await;
    let binaries = fleet.binaries.clone();
    fleet.entries[0].restart(&binaries);
    let caller = fleet.caller(0);
    until_ready(&caller).await;
    assert_serves(&caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_frozen_over_versions_never_serves_an_old_one() {
    let fleet = fleet().entries(3).start().await;
    fleet.entries[0].program.freeze();
    let mut version = 0;
    for loads in 20..25 {
        version = accepted(&fleet, loads).await;
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
    in_force(&fleet, version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_store_and_peers_leaves_the_balancer() {
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
async fn an_outage_of_the_store_alone_stops_nothing() {
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
    let mut configuration = changed(&fleet, 0);
    configuration.register.accounts[1].credential = String::new();
    let options = files(&fleet, "wrong", &configuration);
    let output = run(&fleet, "apply", &options).await;
    assert_eq!(output.status.code(), Some(3));
    let message = text(&output.stderr);
    assert!(message.contains("field accounts[1].credential"), "{message}");
    assert!(message.contains("field loads_per_minute"), "{message}");
    let list = fleet.platform.list("configuration");
    assert_eq!(list.objects[0].value["version"], json!(1));
}
