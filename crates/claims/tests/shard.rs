//! Tests of a shard: its size limit, the retention of records, repeated keys.

use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::request::Key;
use kumquattiller_claims::Attempt;
use kumquattiller_claims::Outcome;
use kumquattiller_claims::Record;
use kumquattiller_claims::Response;
use kumquattiller_claims::Shard;
use kumquattiller_claims::Timestamp;
use kumquattiller_claims::shard;
use kumquattiller_claims::shard::Verdict;
use kumquattiller_claims::shard::Wire;
use proptest::prelude::*;
use test_case::test_case;

const UNTIL: Timestamp = Timestamp::from_millis(60_000);
const STORE_LIMIT_BYTES: usize = 1_000_000;

fn key(text: &str) -> Key {
    Key::new("ledger".parse().expect("valid account"), text).expect("valid key")
}

fn record(attempt: u128, body: &[u8]) -> Record {
    Record {
        fingerprint: Fingerprint::of(&"ledger".parse().expect("valid account"), "/post", body),
        attempt: Attempt::new(attempt),
        daemon: "entry-a".parse().expect("valid name"),
        incarnation: daemon::Incarnation::new(u64::MAX),
        until: UNTIL,
        outcome: None,
    }
}

fn done() -> Outcome {
    Outcome::Done(Response::new(201, "application/json", b"{\"posted\":true}"))
}

#[test_case(1, b"a", 1_000 => Verdict::Own; "the same attempt")]
#[test_case(2, b"a", 1_000 => Verdict::Held { until: UNTIL }; "another attempt in time")]
#[test_case(2, b"a", 60_001 => Verdict::Unknown; "another attempt past the deadline")]
#[test_case(2, b"b", 1_000 => Verdict::Reused; "another body")]
fn a_repeated_claim_gets_the_verdict_of_the_existing_record(
    attempt: u128,
    body: &[u8],
    now_ms: u64,
) -> Verdict {
    let mut shard = Shard::default();
    let now = Timestamp::from_millis(0);
    assert_eq!(shard.claim(&key("k"), &record(1, b"a"), now), Verdict::Added);
    shard.claim(&key("k"), &record(attempt, body), Timestamp::from_millis(now_ms))
}

#[test]
fn only_the_holder_finishes_or_releases() {
    let mut shard = Shard::default();
    shard.claim(&key("k"), &record(1, b"a"), UNTIL);
    assert!(!shard.record_outcome(&key("k"), Attempt::new(2), done()));
    assert!(!shard.remove_claim(&key("k"), Attempt::new(2)));
    assert!(shard.record_outcome(&key("k"), Attempt::new(1), done()));
    assert!(
        !shard.remove_claim(&key("k"), Attempt::new(1)),
        "a record with an outcome is not removed"
    );
    let repeat = shard.claim(&key("k"), &record(2, b"a"), UNTIL);
    assert_eq!(repeat, Verdict::Finished(done()));
}

#[test]
fn a_record_expires_after_its_retention_and_not_before() {
    let mut shard = Shard::default();
    shard.claim(&key("k"), &record(1, b"a"), UNTIL);
    assert!(!shard.remove_expired(UNTIL + shard::RETENTION));
    assert!(shard.remove_expired(UNTIL + shard::RETENTION + Duration::from_millis(1)));
    assert_eq!(shard, Shard::default());
}

#[test]
fn a_full_shard_refuses_and_keeps_its_records() {
    let mut shard = Shard::default();
    let mut count = 0_u128;
    while shard.claim(&key(&format!("k{count}")), &record(count, b"a"), UNTIL) != Verdict::Full {
        count += 1;
    }
    assert_eq!(shard.records().count() as u128, count);
    for index in 0..count {
        assert!(shard.record_outcome(&key(&format!("k{index}")), Attempt::new(index), done()));
    }
    let json = serde_json::to_vec(&Wire::from(&shard)).expect("shard serializes to JSON");
    assert!(json.len() < STORE_LIMIT_BYTES, "{} bytes", json.len());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_stated_size_bounds_the_json_and_the_json_reads_back(
        entries in proptest::collection::vec(("[ -~]{1,200}", "\\PC{0,300}", any::<bool>()), 0..40),
    ) {
        let mut shard = Shard::default();
        for (index, (text, body, finished)) in entries.iter().enumerate() {
            let attempt = index as u128;
            let verdict = shard.claim(&key(text), &record(attempt, b"a"), UNTIL);
            if *finished && verdict == Verdict::Added {
                let response = Response::new(599, &"x".repeat(64), body.as_bytes());
                shard.record_outcome(&key(text), Attempt::new(attempt), Outcome::Done(response));
            }
        }
        let json = serde_json::to_string(&Wire::from(&shard)).expect("shard serializes to JSON");
        let envelope = "{\"records\":{\"ledger\":{}}}".len();
        prop_assert!(json.len() <= shard.json_bytes_bound() + envelope, "{} bytes", json.len());
        let wire: Wire = serde_json::from_str(&json).expect("JSON deserializes to a shard");
        prop_assert_eq!(Shard::try_from(wire).expect("valid keys"), shard);
    }
}
