//! A graceful stop cuts no request, and a runner process that is leaving refuses new work itself.

use std::time::Duration;

use kumquattiller_link::Identity;
use kumquattiller_link::Link;
use kumquattiller_support::caller::Caller;
use kumquattiller_support::caller::Piece;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::MODEL;
use kumquattiller_support::wait;
use test_case::test_case;
use tokio::process::Command;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::support::fleet;

/// Longest time from the start of a stop or a leave until the process refuses new work.
const REFUSE_LIMIT: Duration = Duration::from_secs(3);
/// Longest time for a stopping process to finish its work and exit.
const EXIT_LIMIT: Duration = Duration::from_secs(20);
/// Number of concurrent callers of the load.
const CALLERS: usize = 6;

/// Returns whether the runner process itself reports that it is leaving.
async fn is_leaving(fleet: &Fleet, index: usize) -> bool {
    let identity = Identity {
        name: "operator-test".to_owned(),
        incarnation: 1,
        zone: String::new(),
        role: "operator".to_owned(),
    };
    let link = Link::connect(fleet.runners[index].link, &identity, 0).await;
    link.is_ok_and(|link| link.load.is_some_and(|load| load.leaving))
}

/// Outcomes of the requests of a load.
#[derive(Debug, Default, PartialEq, Eq)]
struct Tally {
    done: usize,
    failed: Vec<String>,
}

/// Callers that send streamed requests to ready entry daemons until the load is stopped.
struct Load {
    callers: JoinSet<Tally>,
    stop: CancellationToken,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let stop = CancellationToken::new();
        let mut callers = JoinSet::new();
        for n in 0..CALLERS {
            let daemons: Vec<Caller> = (0..fleet.entries.len()).map(|i| fleet.caller(i)).collect();
            callers.spawn(send_requests(daemons, n, stop.clone()));
        }
        Self { callers, stop }
    }

    async fn finish(self) -> Tally {
        self.stop.cancel();
        let tallies = self.callers.join_all().await;
        let add = |mut sum: Tally, tally: Tally| {
            sum.done += tally.done;
            sum.failed.extend(tally.failed);
            sum
        };
        tallies.into_iter().fold(Tally::default(), add)
    }
}

/// Sends requests to the daemons in turn and, like a load balancer, skips those that are not ready.
async fn send_requests(
    daemons: Vec<Caller>,
    first_daemon: usize,
    stop: CancellationToken,
) -> Tally {
    let mut tally = Tally::default();
    let mut next_daemon = first_daemon;
    while !stop.is_cancelled() {
        next_daemon += 1;
        let daemon = &daemons[next_daemon % daemons.len()];
        if daemon.probe("/readyz").await != Some(200) {
            sleep(Duration::from_millis(10)).await;
            continue;
        }
        match daemon.stream(&Caller::completion(MODEL, "gas at the corner", 30, true)).await {
            Ok(mut stream) => match stream.rest().await {
                (_, Piece::Done) => tally.done += 1,
                (text, end) => tally.failed.push(format!("{end:?} after {} bytes", text.len())),
            },
            Err(answer) => tally.failed.push(format!("{answer:?}")),
        }
    }
    tally
}

/// A runner process refuses new work once the platform lists its VM as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_runner_refuses_new_work_when_its_vm_is_listed_as_leaving() {
    let fleet = fleet().start().await;
    let vm = kumquattiller_dialect::platform::Vm {
        name: fleet.runners[0].id.clone(),
        address: fleet.runners[0].link.to_string(),
        zone: "pasig".to_owned(),
        role: "runner".to_owned(),
        phase: kumquattiller_dialect::platform::Phase::Live,
    };
    fleet.platform.set_vm(vm);
    sleep(Duration::from_secs(1)).await;
    assert!(!is_leaving(&fleet, 0).await);
    fleet.platform.leave_vm(&fleet.runners[0].id);
    wait::until("the leaving VM in the list", Duration::from_secs(10), async || {
        let client = kumquattiller_clients::platform::Client::new(
            kumquattiller_clients::Transport::new(),
            &fleet.platform.url(),
        );
        let vms = client.vms().await.unwrap_or_default().vms;
        vms.iter().any(|vm| vm.phase == kumquattiller_dialect::platform::Phase::Leaving)
    })
    .await;
    wait::until("refusal", REFUSE_LIMIT, async || is_leaving(&fleet, 0).await).await;
    assert!(!is_leaving(&fleet, 1).await);
    let answer = fleet.caller(0).complete(&Caller::completion(MODEL, "gas", 2, false)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_drains_a_runner() {
    let fleet = fleet().start().await;
    let mut process = Command::new(&fleet.binaries.entry);
    let address = fleet.runners[1].link.to_string();
    let output = process.args(["drain", &address]).output().await.expect("program can be run");
    assert_eq!(String::from_utf8_lossy(&output.stdout), "runner-1 takes no new work\n");
    assert!(is_leaving(&fleet, 1).await);
    assert!(!is_leaving(&fleet, 0).await);
}

#[test_case(150; "within the time that the HTTP server waits")]
#[test_case(700; "beyond the time that the HTTP server waits")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_daemon_finishes_its_streams(tokens: u64) {
    let mut fleet = fleet().start().await;
    let body = Caller::completion(MODEL, "gas at the corner", tokens, true);
    let mut stream = fleet.caller(0).stream(&body).await.expect("answer is streamed");
    assert!(matches!(stream.next().await, Piece::Text(_)));
    fleet.entries[0].program.terminate();
    let caller = fleet.caller(0);
    wait::until("not ready", REFUSE_LIMIT, async || caller.probe("/readyz").await != Some(200))
        .await;
    let (_, end) = stream.rest().await;
    assert_eq!(end, Piece::Done);
    assert_eq!(fleet.entries[0].program.exit_code(EXIT_LIMIT).await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_runner_finishes_its_streams() {
    let mut fleet = fleet().engines(1).start().await;
    let body = Caller::completion(MODEL, "gas at the corner", 150, true);
    let mut stream = fleet.caller(0).stream(&body).await.expect("answer is streamed");
    assert!(matches!(stream.next().await, Piece::Text(_)));
    fleet.runners[0].program.terminate();
    let (_, end) = stream.rest().await;
    assert_eq!(end, Piece::Done);
    assert_eq!(fleet.runners[0].program.exit_code(EXIT_LIMIT).await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_interrupts_no_requests() {
    let mut fleet = fleet().entries(3).engines(3).start().await;
    let load = Load::start(&fleet);
    let start = Instant::now();
    let binaries = fleet.binaries.clone();
    for index in 0..fleet.entries.len() {
        fleet.entries[index].program.terminate();
        assert_eq!(fleet.entries[index].program.exit_code(EXIT_LIMIT).await, Some(0));
        fleet.entries[index].restart(&binaries);
        fleet.wait_until_ready().await;
    }
    for index in 0..fleet.runners.len() {
        fleet.runners[index].program.terminate();
        assert_eq!(fleet.runners[index].program.exit_code(EXIT_LIMIT).await, Some(0));
        fleet.runners[index].restart(&binaries);
        sleep(Duration::from_secs(2)).await;
    }
    let tally = load.finish().await;
    println!("{} requests done in {:?}", tally.done, start.elapsed());
    assert_eq!(tally.failed, Vec::<String>::new());
    assert!(tally.done > CALLERS);
}
