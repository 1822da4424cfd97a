//! The admission queue as the gateway uses it: cost bounds and reports.

use std::time::Duration;

use kumquattiller_base::account::Rank;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::peer;
use kumquattiller_gateway::placement::CostBound;
use kumquattiller_routing::queue;
use kumquattiller_routing::queue::Consumer;
use kumquattiller_routing::queue::Consumption;
use kumquattiller_routing::queue::Identity;
use kumquattiller_routing::queue::Place;
use kumquattiller_routing::queue::Pool;
use kumquattiller_routing::queue::Shortage;
use kumquattiller_routing::queue::Slot;
use kumquattiller_routing::queue::Usage;
use prost::Message;
use test_case::test_case;

/// Part of a datagram of 8 KiB that the queue may use beside the loads of the servers.
const MAX_REPORT_BYTES: usize = 2 * 1024;

/// Guards against a prompt that is placed at any cost before it has waited, and against one that is
/// refused again although it was promised to be served.
#[test_case(CostBound::USUAL, 33.0, 40.0 => true; "below the usual bound")]
#[test_case(CostBound::USUAL, 35.0, 40.0 => false; "above the usual bound")]
#[test_case(CostBound::Gain(1.0), 60.0, 40.0 => true; "after its wait it may cost what lateness would")]
#[test_case(CostBound::Gain(1.0), 70.0, 40.0 => false; "after its wait the cost is bounded")]
#[test_case(CostBound::Gain(1.0), 9.0, 10.0 => false; "a late prompt has nothing to lose by returning")]
#[test_case(CostBound::Unlimited, 1e6, 1.0 => true; "promised")]
fn a_prompt_may_cost_others(bound: CostBound, others: f64, gain: f64) -> bool {
    bound.allows(others, gain, 40.0)
}

fn full_report(now: Moment) -> queue::Report {
    let place = Place {
        pool: Pool::new(u64::MAX),
        urgency: Rank::new(3),
        promised: true,
        over_share: true,
        due: now + Duration::from_millis(900),
        aged_at: now + Duration::from_millis(200),
        shortage: Some(Shortage::Memory),
        work: Duration::from_millis(170),
        value: 41.0,
    };
    let slot = Slot {
        pool: Pool::new(u64::MAX),
        due_in: Duration::from_secs(4),
        work: Duration::from_secs(1),
        footprint: Tokens::new(3_000_000),
    };
    let usage = Usage { asked: 4e6, served: 3e6 };
    queue::Report {
        waiting: vec![place; 8],
        other_work: Duration::from_secs(2),
        slots: vec![slot; 16],
        promised: (0..32).map(Identity::new).collect(),
        returned: (32..64).map(Identity::new).collect(),
        usages: vec![Consumption { consumer: Consumer::new(u64::MAX), usage }; 24],
    }
}

/// Guards against fields that are lost between daemons and against reports that crowd out the loads.
#[test]
fn a_full_report_arrives_unchanged_and_is_small() {
    let now = Moment::from_millis(5_000);
    let sent = full_report(now);
    let message = peer::Queue::of(&sent, now).unwrap();
    let accounts: Vec<peer::Consumption> = sent.usages.iter().map(Into::into).collect();
    let bytes = message.encoded_len() + accounts.iter().map(|a| a.encoded_len() + 3).sum::<usize>();
    assert!(bytes <= MAX_REPORT_BYTES, "{bytes}");
    let received = peer::Queue::decode(message.encode_to_vec().as_slice()).unwrap();
    assert_eq!(received.report(&accounts, now), sent);
}

/// Guards against bytes in the reports of deployments in which nothing waits.
#[test]
fn an_empty_queue_is_not_reported() {
    assert_eq!(peer::Queue::of(&queue::Report::default(), Moment::ZERO), None);
}
