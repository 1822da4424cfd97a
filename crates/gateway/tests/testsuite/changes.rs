//! Changes that daemons pass on to one another.

use kumquattiller_base::time::Moment;
use kumquattiller_gateway::changes::Change;
use kumquattiller_gateway::changes::Content;
use kumquattiller_gateway::changes::History;
use kumquattiller_gateway::changes::Update;
use kumquattiller_gateway::freshness::Era;
use kumquattiller_gateway::freshness::Kind;
use kumquattiller_gateway::freshness::Revision;
use kumquattiller_gateway::freshness::Source;
use kumquattiller_gateway::peer::Object;
use kumquattiller_gateway::peer::Response;
use prost::Message;
use test_case::test_case;

const fn revision(number: u64) -> Revision {
    Revision::new(number)
}

fn removal(name: &str) -> Change {
    Change::ServerRemoved(name.parse().unwrap())
}

fn update(content: Content, number: u64) -> Update {
    Update {
        kind: Kind::Servers,
        source: Source::Store,
        content,
        revision: revision(number),
        shown_at: Moment::from_millis(5_000),
    }
}

fn since(from: u64, changes: &[u64], number: u64) -> Update {
    let changes = changes.iter().map(|n| (revision(*n), removal(&format!("s-{n}")))).collect();
    update(Content::Since(revision(from), changes), number)
}

fn numbers(changes: Option<Vec<(Revision, Change)>>) -> Option<Vec<u64>> {
    changes.map(|changes| changes.iter().map(|(at, _)| at.number()).collect())
}

#[test]
fn a_history_begins_with_a_complete_list() {
    let mut history = History::default();
    assert_eq!(history.since(revision(5)), None);
    history.record(&update(Content::Complete(Vec::new()), 10));
    history.record(&since(10, &[11, 14], 15));
    assert_eq!(numbers(history.since(revision(9))), None, "older changes are unknown");
    assert_eq!(numbers(history.since(revision(10))), Some(vec![11, 14]));
    assert_eq!(numbers(history.since(revision(11))), Some(vec![14]));
    assert_eq!(numbers(history.since(revision(15))), Some(vec![]));
}

#[test]
fn a_history_drops_its_oldest_changes() {
    let mut history = History::default();
    let numbers_after: Vec<u64> = (11..1_011).collect();
    history.record(&since(10, &numbers_after, 1_010));
    assert_eq!(history.since(revision(10)), None);
    assert_eq!(numbers(history.since(revision(1_008))), Some(vec![1_009, 1_010]));
}

#[test]
fn a_history_keeps_a_change_once_that_comes_from_two_peers() {
    let mut history = History::default();
    history.record(&since(10, &[11, 12], 12));
    history.record(&since(10, &[11, 12, 13], 13));
    assert_eq!(numbers(history.since(revision(10))), Some(vec![11, 12, 13]));
}

#[test]
fn a_history_does_not_reach_over_a_restore_of_the_store() {
    let mut history = History::default();
    history.record(&since(10, &[11], 12));
    let restored = Revision::of(Era::new(1), 4);
    history.record(&Update { revision: restored, ..update(Content::Complete(Vec::new()), 0) });
    assert_eq!(history.since(revision(12)), None);
    assert_eq!(numbers(history.since(restored)), Some(vec![]));
}

#[test_case(Some(10), true; "of the same revision")]
#[test_case(Some(12), true; "that has some of the changes")]
#[test_case(Some(15), true; "that has all of the changes")]
#[test_case(Some(9), false; "that lacks earlier changes")]
#[test_case(Some(16), false; "that is newer")]
#[test_case(None, false; "that does not exist")]
fn changes_fit_a_copy(copy: Option<u64>, expected: bool) {
    assert_eq!(since(10, &[11, 14], 15).fits(copy.map(revision)), expected);
}

#[test]
fn changes_of_another_era_do_not_fit() {
    let copy = Revision::of(Era::new(1), 12);
    assert!(!since(10, &[11, 14], 15).fits(Some(copy)));
    let list = update(Content::Complete(Vec::new()), 900);
    assert!(!list.fits(Some(copy)), "a late answer of the era before");
}

#[test]
fn an_update_survives_the_way_to_a_peer() {
    let update = since(10, &[11, 14], 15);
    let bytes = Response::from(&update).encode_to_vec();
    let decoded = Response::decode(bytes.as_slice()).unwrap();
    let decoded = decoded.decode_update(update.shown_at).unwrap();
    assert_eq!(decoded, Update { source: Source::Peer, ..update });
}

/// Declares a test for each way in which a peer's answer can be malformed.
macro_rules! rejected {
    ($($name:ident: $spoil:expr,)*) => {
        $(#[test]
        fn $name() {
            let mut response = Response::from(&since(10, &[11, 14], 15));
            let spoil: fn(&mut Response) = $spoil;
            spoil(&mut response);
            assert!(response.decode_update(Moment::ZERO).is_err());
        })*
    };
}

rejected! {
    an_unknown_kind_is_rejected: |response| response.kind = 0,
    changes_of_another_kind_are_rejected: |response| response.kind = 1,
    a_change_without_an_object_is_rejected: |response| response.changes[0].object = None,
    a_change_later_than_the_answer_is_rejected: |response| response.changes[1].revision = 16,
    an_invalid_id_is_rejected: |response| {
        let invalid = Object::ServerRemoved("no id / at all".to_owned());
        response.changes[0].object = Some(invalid);
    },
}
