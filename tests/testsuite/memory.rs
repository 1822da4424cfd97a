//! Engine memory without an owner is released within 5 s of a fault.

use std::time::Duration;

use kumquattiller_link::Identity;
use kumquattiller_link::Link;
use kumquattiller_standins::engine;
use kumquattiller_support::caller::Caller;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::MODEL;
use kumquattiller_support::wait;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;
use test_case::test_case;

use crate::support::fleet;

/// Longest time from a fault until the engine has released all memory without an owner.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);
/// Length of an answer that outlasts every test, in tokens; the engine takes 20 ms a token.
const LONG_ANSWER_TOKENS: u64 = 100_000;
/// Longest wait until the streams have started.
const START_LIMIT: Duration = Duration::from_secs(10);

/// A fault that occurs while streams run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// SIGKILL of the entry daemon.
    EntryKilled,
    /// The links to the runner are closed, and new ones are refused.
    LinkCut,
    /// SIGKILL of the runner process; the callers disconnect before it is restarted.
    RunnerKilled,
    /// The callers disconnect.
    CallersLeft,
}

/// Injects a fault into a fleet of one engine.
async fn inject_fault(fault: Fault, fleet: &mut Fleet) {
    match fault {
        Fault::EntryKilled => fleet.entries[0].program.kill().await,
        Fault::LinkCut => fleet.runners[0].relay.close(),
        Fault::RunnerKilled => fleet.runners[0].program.kill().await,
        Fault::CallersLeft => {}
    }
}

#[test_case(Fault::EntryKilled; "entry daemon killed")]
#[test_case(Fault::LinkCut; "link cut")]
#[test_case(Fault::RunnerKilled; "runner process killed")]
#[test_case(Fault::CallersLeft; "callers left")]
#[tokio::test(flavor = "multi_thread")]
async fn engine_memory_is_released_after_a_fault(fault: Fault) {
    let mut fleet = fleet().entries(1).engines(1).engine(engine::Settings::default()).start().await;
    let mut streams = Vec::new();
    for index in 0..3 {
        let prompt = format!("gas {index} ").repeat(400);
        let body = Caller::completion(MODEL, &prompt, LONG_ANSWER_TOKENS, true);
        streams.push(fleet.caller(0).stream(&body).await.expect("answer is streamed"));
    }
    wait::until("start of the streams", START_LIMIT, async || {
        fleet.engine(0).holdings().streams.len() == 3
    })
    .await;
    inject_fault(fault, &mut fleet).await;
    drop(streams);
    if fault == Fault::RunnerKilled {
        assert!(
            fleet.engine(0).kv_held() > 0,
            "the engine keeps the memory until a runner process releases it"
        );
        let binaries = fleet.binaries.clone();
        fleet.runners[0].restart(&binaries);
    }
    wait::until("release of the engine's memory", RELEASE_LIMIT, async || {
        fleet.engine(0).kv_held() == 0
    })
    .await;
}

/// Sends a frame and returns the first reply for which `pick` returns a value.
async fn exchange<T>(link: &mut Link, body: Body, pick: impl Fn(Body) -> Option<T>) -> T {
    link.sender.send(body).await.expect("the link is open");
    loop {
        let body = link.receiver.next().await.expect("the link is open").expect("an answer");
        if let Some(answer) = pick(body) {
            return answer;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reserved_segment_is_released_when_its_daemon_disconnects() {
    let fleet = fleet().entries(1).engines(1).start().await;
    let identity = Identity {
        name: "entry-gone".to_owned(),
        incarnation: 1,
        zone: "pasig".to_owned(),
        role: "entry".to_owned(),
    };
    let mut daemon = Link::connect(fleet.runners[0].link, &identity, 0).await.expect("a link");
    let reserve = link::Reserve { reservation: 7, tokens: 5_000, ttl_ms: 60_000, attempt: None };
    let reserved = exchange(&mut daemon, Body::Reserve(reserve), |body| match body {
        Body::Reserved(reserved) => Some(reserved),
        _ => None,
    })
    .await;
    assert!(reserved.granted, "{reserved:?}");
    let prefill = link::Prefill {
        attempt: Some(link::AttemptId {
            request: Some(link::RequestId { high: 1, low: 2 }),
            number: 1,
        }),
        reservation: 7,
        tokens: 4_000,
        model: MODEL.to_owned(),
        left_ms: 10_000,
        ..link::Prefill::default()
    };
    let prefilled = exchange(&mut daemon, Body::Prefill(prefill), |body| match body {
        Body::Prefilled(prefilled) => Some(prefilled),
        _ => None,
    })
    .await;
    assert_eq!(prefilled.kind, "");
    assert_eq!(prefilled.handle.map(|handle| handle.tokens), Some(4_000));
    assert_eq!(fleet.engine(0).kv_held(), 4_000);
    drop(daemon);
    wait::until("release of the segment", RELEASE_LIMIT, async || fleet.engine(0).kv_held() == 0)
        .await;
}
