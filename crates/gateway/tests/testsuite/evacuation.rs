//! Evacuations of availability zones.

use std::time::Duration;

use kumquattiller_base::place::Zone;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::changes::Change;
use kumquattiller_gateway::changes::Content;
use kumquattiller_gateway::changes::Update;
use kumquattiller_gateway::evacuation::Difference;
use kumquattiller_gateway::evacuation::Hold;
use kumquattiller_gateway::evacuation::MAX_HOLD;
use kumquattiller_gateway::evacuation::Table;
use kumquattiller_gateway::freshness;
use kumquattiller_gateway::freshness::Confirmation;
use kumquattiller_gateway::freshness::Effect;
use kumquattiller_gateway::freshness::Kind;
use kumquattiller_gateway::freshness::Revision;
use kumquattiller_gateway::freshness::Source;
use kumquattiller_gateway::peer::Response;
use prost::Message;
use test_case::test_case;

/// Time at which the process runs again after a pause.
const WAKE: Moment = Moment::from_millis(60_000);

fn zone(name: &str) -> Zone {
    name.parse().unwrap()
}

fn zones(names: &[&str]) -> Vec<Zone> {
    names.iter().map(|name| zone(name)).collect()
}

#[test_case(&["a"], &["a"], &[], &[]; "nothing changes")]
#[test_case(&[], &["a", "b"], &["a", "b"], &[]; "zones are evacuated")]
#[test_case(&["a", "b"], &[], &[], &["a", "b"]; "evacuations are taken back")]
#[test_case(&["a"], &["b"], &["b"], &["a"]; "another zone is evacuated")]
fn a_complete_list_replaces_the_zones(
    before: &[&str],
    after: &[&str],
    added: &[&str],
    removed: &[&str],
) {
    let mut table = Table::default();
    table.replace(zones(before));
    let expected = Difference { added: zones(added), removed: zones(removed) };
    assert_eq!(table.replace(zones(after)), expected);
    assert_eq!(table.zones().cloned().collect::<Vec<_>>(), zones(after));
}

#[test]
fn a_zone_is_evacuated_until_it_is_removed() {
    let mut table = Table::default();
    assert!(table.put(zone("a")));
    assert!(!table.put(zone("a")), "a second object of a zone changes nothing");
    assert!(table.is_evacuated(&zone("a")) && !table.is_evacuated(&zone("b")));
    assert!(table.remove(&zone("a")));
    assert!(!table.remove(&zone("a")));
    assert!(!table.is_evacuated(&zone("a")));
}

/// Guards against a process that sends to a zone which was evacuated while it did not run.
#[test_case(None, 0, MAX_HOLD; "without a copy")]
#[test_case(Some(59_000), 400, Duration::from_millis(600); "while the copy is that of before")]
#[test_case(Some(60_100), 400, Duration::ZERO; "after a confirmation")]
#[test_case(Some(59_000), 1_000, Duration::ZERO; "after the longest hold")]
fn requests_are_held_back(confirmed_ms: Option<u64>, after_ms: u64, expected: Duration) {
    let mut hold = Hold::default();
    let now = WAKE + Duration::from_millis(after_ms);
    let confirmed_at = confirmed_ms.map(Moment::from_millis);
    assert_eq!(hold.left(confirmed_at, now), Duration::ZERO, "held back without a pause");
    hold.begin(WAKE);
    assert_eq!(hold.left(confirmed_at, now), expected);
}

#[test_case(Content::Complete(vec![Change::Evacuation(zone("a"))]); "complete")]
#[test_case(
    Content::Since(Revision::new(4), vec![
        (Revision::new(5), Change::Evacuation(zone("a"))),
        (Revision::new(6), Change::EvacuationRemoved(zone("b"))),
    ]); "changes"
)]
fn evacuations_are_passed_on_between_peers(content: Content) {
    let asked_at = Moment::from_millis(9_000);
    let update = Update {
        kind: Kind::Evacuations,
        source: Source::Peer,
        content,
        revision: Revision::new(6),
        shown_at: asked_at,
    };
    let bytes = Response::from(&update).encode_to_vec();
    assert_eq!(Response::decode(&*bytes).unwrap().decode_update(asked_at), Ok(update));
}

/// Guards against a daemon without evacuations that confirms the copies of those which have them.
#[test]
fn an_assumed_copy_confirms_no_peer_and_learns_of_the_first_evacuation() {
    let mut table = freshness::Table::default();
    table.confirm(Kind::Evacuations, Revision::new(0), None, WAKE, Source::Assumed);
    assert_eq!(table.confirmations(WAKE).count(), 0);
    let change = Revision::new(40);
    let reported = Confirmation { last_change: change, revision: change, age: Duration::ZERO };
    let later = WAKE + Duration::from_secs(1);
    assert_eq!(table.merge(Kind::Evacuations, reported, later), Effect::Missing);
}
