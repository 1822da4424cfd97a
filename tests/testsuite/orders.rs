//! Orders to engines: desired models are loaded, drift is corrected, outdated orders are refused.

use std::time::Duration;

use kumquattiller_dialect::engine::Model;
use kumquattiller_link::Identity;
use kumquattiller_link::Link;
use kumquattiller_planner::Fencing;
use kumquattiller_planner::executor::Number;
use kumquattiller_planner::executor::Order;
use kumquattiller_planner::plan::Target;
use kumquattiller_standins::engine;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::MODEL;
use kumquattiller_support::fleet::MODEL_SERVICE;
use kumquattiller_support::wait;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;
use serde_json::json;
use test_case::test_case;

use crate::support::fleet;

/// Longest wait until the engines have loaded the ordered models.
const ORDER_LIMIT: Duration = Duration::from_secs(20);
/// Longest wait until another daemon takes over the lease: the duration of the lease and the pause
/// between two reads of it.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(40);
/// Time within which an accepted order has taken effect and the runner process has observed it.
const SETTLE_TIME: Duration = Duration::from_secs(3);

fn desired_models() -> Vec<Model> {
    vec![Model { name: MODEL.to_owned(), version: "2".to_owned() }]
}

/// Starts a fleet whose rules order a version of the model to be loaded.
async fn start_fleet_with_orders(checks_fencing: bool) -> Fleet {
    let mut settings = engine::Settings { checks_fencing, ..engine::Settings::default() };
    settings.timing.load_time = Duration::from_millis(50);
    let models = json!([{"name": MODEL, "version": "2"}]);
    let rules = json!({
        "desired": [{"service": MODEL_SERVICE, "models": models}],
        "loads_per_minute": 60,
    });
    fleet().entries(2).engines(2).engine(settings).rules(rules).start().await
}

async fn wait_until_loaded(fleet: &Fleet) {
    wait::until("load of the ordered models", ORDER_LIMIT, async || {
        (0..2).all(|index| fleet.engine(index).state().models == desired_models())
    })
    .await;
}

#[test_case(true; "engines that check fencing")]
#[test_case(false; "engines that ignore fencing")]
#[tokio::test(flavor = "multi_thread")]
async fn rules_are_applied_and_manual_changes_are_reverted(checks_fencing: bool) {
    let fleet = start_fleet_with_orders(checks_fencing).await;
    wait_until_loaded(&fleet).await;
    // The runner process has to observe the loaded models first; otherwise it does not recognize a
    // later change as made by hand.
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.engine(0).change_state(|state| state.models.clear());
    fleet.engine(1).change_state(|state| state.models[0].version = "1".to_owned());
    wait_until_loaded(&fleet).await;
    assert!(fleet.runners[0].program.log().contains("changed by hand"));
}

#[test_case(true; "engines that check fencing")]
#[test_case(false; "engines that ignore fencing")]
#[tokio::test(flavor = "multi_thread")]
async fn order_of_an_old_lease_is_refused(checks_fencing: bool) {
    let fleet = start_fleet_with_orders(checks_fencing).await;
    wait_until_loaded(&fleet).await;
    let identity = Identity {
        name: "entry-old".to_owned(),
        incarnation: 1,
        zone: "pasig".to_owned(),
        role: "entry".to_owned(),
    };
    let mut outdated = Link::connect(fleet.runners[0].link, &identity, 0).await.expect("a link");
    let model = Model { name: MODEL.to_owned(), version: "0".to_owned() };
    let target = Target { models: [model].into(), ..Target::default() };
    let number = Number { fencing: Fencing::new(0), sequence: 1_000 };
    let data = serde_json::to_vec(&Order { number, target }).expect("an order is JSON");
    let order = link::Order { id: 1, fencing: 0, data: data.into() };
    outdated.sender.send(Body::Order(order)).await.expect("the link is open");
    let result = loop {
        match outdated.receiver.next().await.expect("the link is open") {
            Some(Body::OrderResult(result)) => break result,
            Some(_) => {}
            None => panic!("the link closed"),
        }
    };
    assert_eq!((result.kind.as_str(), result.highest_fencing), ("old_fencing", 1));
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(fleet.engine(0).state().models, desired_models());
}

/// Returns the holder of the lease, the fencing number of the lease and that of the plan.
fn lease_and_plan(fleet: &Fleet) -> (String, u64, u64) {
    let lease = fleet.platform.list("lease").objects.remove(0).value;
    let plan = fleet.platform.list("plan").objects.remove(0).value;
    let holder = lease["holder"].as_str().expect("a holder").to_owned();
    let number = |value: &serde_json::Value| value["fencing"].as_u64().expect("a number");
    (holder, number(&lease), number(&plan))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_former_lease_holder_that_resumes_issues_no_orders() {
    let fleet = start_fleet_with_orders(false).await;
    wait_until_loaded(&fleet).await;
    let (old_holder, ..) = lease_and_plan(&fleet);
    let paused =
        fleet.entries.iter().find(|entry| old_holder.starts_with(&format!("{}/", entry.id)));
    let paused = paused.expect("the holder is of this fleet");
    paused.program.freeze();
    wait::until("a new holder with a plan", TAKEOVER_LIMIT, async || {
        let (_, lease, plan) = lease_and_plan(&fleet);
        (lease, plan) == (2, 2)
    })
    .await;
    paused.program.thaw();
    tokio::time::sleep(SETTLE_TIME).await;
    let (holder, lease, plan) = lease_and_plan(&fleet);
    assert_ne!(holder, old_holder);
    assert_eq!((lease, plan), (2, 2));
    assert_eq!(fleet.engine(0).state().models, desired_models());
}
