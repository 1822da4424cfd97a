//! Tests of one writer: the events are store results and calls, the actions are checked.

use kumquattiller_base::daemon;
use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::request::Key;
use kumquattiller_base::time::Moment;
use kumquattiller_claims::Action;
use kumquattiller_claims::Answer;
use kumquattiller_claims::Attempt;
use kumquattiller_claims::CallId;
use kumquattiller_claims::Claim;
use kumquattiller_claims::ClaimRequest;
use kumquattiller_claims::Event;
use kumquattiller_claims::Granted;
use kumquattiller_claims::Now;
use kumquattiller_claims::Outcome;
use kumquattiller_claims::ReadResult;
use kumquattiller_claims::Response;
use kumquattiller_claims::Settings;
use kumquattiller_claims::Shard;
use kumquattiller_claims::Timestamp;
use kumquattiller_claims::WriteResult;
use kumquattiller_claims::Writer;
use kumquattiller_claims::shard::Number;

const DEADLINE_MS: u64 = 30_000;

fn writer() -> Writer {
    let id: daemon::Id = "entry-a".parse().expect("valid name");
    Writer::new(id, daemon::Incarnation::new(1), Settings::default())
}

fn at(millis: u64) -> Now {
    let wall = Timestamp::from_millis(1_000_000 + millis);
    Now { moment: Moment::from_millis(millis), wall }
}

/// Returns `count` keys of one shard.
fn keys(count: usize) -> Vec<Key> {
    let key = |n: u32| Key::new("ledger".parse().expect("valid"), &n.to_string()).expect("valid");
    let first = Number::of(&key(0));
    (0..).map(key).filter(|key| Number::of(key) == first).take(count).collect()
}

fn claim_event(call: u64, key: &Key, now: u64) -> Event {
    Event::Claim(ClaimRequest {
        call: CallId(call),
        key: key.clone(),
        fingerprint: Fingerprint::new(5),
        attempt: Attempt::new(u128::from(call)),
        until: at(now + DEADLINE_MS).wall,
        start_by: at(now + DEADLINE_MS).moment,
        answer_by: at(now + 1_000).moment,
    })
}

/// Drives a writer to its first write and returns the shard to write.
fn drive_to_write(writer: &mut Writer, calls: &[(u64, &Key)]) -> (Number, Shard) {
    for (call, key) in calls {
        assert!(writer.handle(at(0), claim_event(*call, key, 0)).is_empty());
    }
    let read = writer.handle(at(5), Event::Tick);
    let [Action::Read(number)] = read.as_slice() else {
        panic!("expected a read, got {read:?}");
    };
    let mut write = writer.handle(at(6), Event::Read(*number, ReadResult::Found(None)));
    let Some(Action::Write { number, version: None, shard }) = write.pop() else {
        panic!("expected the first write of the shard, got {write:?}");
    };
    (number, shard)
}

fn granted(mut actions: Vec<Action>) -> Claim<Granted> {
    match actions.pop() {
        Some(Action::Reply(_, Answer::Granted(claim))) if actions.is_empty() => claim,
        other => panic!("expected exactly one granted claim, got {other:?} and {actions:?}"),
    }
}

#[test]
fn claims_that_arrive_together_share_a_write() {
    let mut writer = writer();
    let keys = keys(20);
    let calls: Vec<(u64, &Key)> = (1..).zip(&keys).collect();
    let (number, shard) = drive_to_write(&mut writer, &calls);
    assert_eq!(shard.records().count(), 20);
    let replies = writer.handle(at(8), Event::Write(number, WriteResult::Written(1)));
    let is_grant = |action: &Action| matches!(action, Action::Reply(_, Answer::Granted(_)));
    assert_eq!(replies.iter().filter(|action| is_grant(action)).count(), 20);
}

#[test]
fn a_repeat_on_the_same_daemon_is_told_that_the_key_is_held() {
    let mut writer = writer();
    let key = &keys(1)[0];
    let (number, _) = drive_to_write(&mut writer, &[(1, key), (2, key)]);
    let replies = writer.handle(at(8), Event::Write(number, WriteResult::Written(1)));
    let [
        Action::Reply(CallId(1), Answer::Granted(_)),
        Action::Reply(CallId(2), Answer::Held { .. }),
    ] = replies.as_slice()
    else {
        panic!("got {replies:?}");
    };
}

#[test]
fn a_lost_write_response_is_read_back_and_grants() {
    let mut writer = writer();
    let (number, shard) = drive_to_write(&mut writer, &[(1, &keys(1)[0])]);
    let read = writer.handle(at(900), Event::Write(number, WriteResult::Indeterminate));
    assert!(matches!(read.as_slice(), [Action::Read(_)]), "got {read:?}");
    let found = ReadResult::Found(Some((9, shard)));
    granted(writer.handle(at(901), Event::Read(number, found)));
}

#[test]
fn a_refused_call_whose_write_took_effect_after_all_releases_the_key() {
    let mut writer = writer();
    let (number, shard) = drive_to_write(&mut writer, &[(1, &keys(1)[0])]);
    writer.handle(at(900), Event::Write(number, WriteResult::Indeterminate));
    let refused = writer.handle(at(950), Event::Read(number, ReadResult::Unavailable));
    assert!(
        matches!(refused.as_slice(), [Action::Reply(CallId(1), Answer::Unavailable)]),
        "got {refused:?}"
    );
    let read = writer.handle(at(1_450), Event::Tick);
    assert!(matches!(read.as_slice(), [Action::Read(_)]), "got {read:?}");
    let found = ReadResult::Found(Some((9, shard)));
    let write = writer.handle(at(1_451), Event::Read(number, found));
    let [Action::Write { version: Some(9), shard, .. }] = write.as_slice() else {
        panic!("got {write:?}");
    };
    assert_eq!(shard.records().count(), 0);
}

#[test]
fn calls_are_refused_without_a_store_operation_after_an_outage() {
    let mut writer = writer();
    let keys = keys(2);
    let (number, _) = drive_to_write(&mut writer, &[(1, &keys[0])]);
    let refused = writer.handle(at(8), Event::Write(number, WriteResult::Unavailable));
    assert!(matches!(refused.as_slice(), [Action::Reply(_, Answer::Unavailable)]));
    let refused = writer.handle(at(9), claim_event(2, &keys[1], 9));
    assert!(matches!(refused.as_slice(), [Action::Reply(_, Answer::Unavailable)]));
}

#[test]
fn an_outcome_outlives_an_outage_and_answers_a_repeat() {
    let mut writer = writer();
    let key = &keys(1)[0];
    let (number, _) = drive_to_write(&mut writer, &[(1, key)]);
    let claim = granted(writer.handle(at(8), Event::Write(number, WriteResult::Written(1))));
    let started = claim.start(at(9)).expect("in time");
    let outcome = Outcome::Done(Response::new(200, "", b"posted"));
    writer.handle(at(10), started.finish(outcome.clone()));
    let due = Settings::default().outcome_linger.as_millis() as u64 + 10;
    let write = writer.handle(at(due), Event::Tick);
    assert!(matches!(write.as_slice(), [Action::Write { .. }]), "got {write:?}");
    writer.handle(at(due + 1), Event::Write(number, WriteResult::Unavailable));
    assert!(!writer.is_idle());
    let retry_ms = due + 1 + Settings::default().outage_pause.as_millis() as u64;
    writer.handle(at(retry_ms), Event::Tick);
    let mut shard = Shard::default();
    let record = drive_to_write(&mut self::writer(), &[(1, key)]).1.get(key).cloned();
    shard.claim(key, &record.expect("claimed"), at(0).wall);
    let write =
        writer.handle(at(retry_ms + 1), Event::Read(number, ReadResult::Found(Some((1, shard)))));
    assert!(matches!(write.as_slice(), [Action::Write { .. }]), "got {write:?}");
    writer.handle(at(retry_ms + 2), Event::Write(number, WriteResult::Written(2)));
    assert!(writer.is_idle());
    writer.handle(at(retry_ms + 3), claim_event(2, key, retry_ms + 3));
    let earliest_write = retry_ms + 1 + Settings::default().write_interval.as_millis() as u64;
    assert!(writer.handle(at(earliest_write - 1), Event::Tick).is_empty());
    let replies = writer.handle(at(earliest_write), Event::Tick);
    let [Action::Reply(CallId(2), Answer::Finished(replied))] = replies.as_slice() else {
        panic!("got {replies:?}");
    };
    assert_eq!(*replied, outcome);
}

#[test]
fn a_holder_that_was_paused_past_its_start_window_does_not_start() {
    let mut writer = writer();
    let (number, _) = drive_to_write(&mut writer, &[(1, &keys(1)[0])]);
    let claim = granted(writer.handle(at(8), Event::Write(number, WriteResult::Written(1))));
    let suspended = Now { moment: at(9).moment, wall: at(DEADLINE_MS + 1).wall };
    let lapsed = claim.start(suspended).expect_err("the wall clock passed the deadline");
    let lapsed =
        lapsed.0.start(at(DEADLINE_MS + 1)).expect_err("the monotonic clock passed the deadline");
    assert!(matches!(lapsed.0.release(), Event::Release { .. }));
}

#[test]
fn a_shard_is_written_once_in_an_interval() {
    let mut writer = writer();
    let keys = keys(3);
    let (number, _) = drive_to_write(&mut writer, &[(1, &keys[0])]);
    granted(writer.handle(at(8), Event::Write(number, WriteResult::Written(1))));
    for (call, now) in [(2, 20), (3, 120)] {
        assert!(
            writer.handle(at(now), claim_event(call, &keys[call as usize - 1], now)).is_empty()
        );
    }
    let due = writer.next_due().expect("calls wait");
    assert!(due >= Moment::ZERO + Settings::default().write_interval);
    let now = Now { moment: due, wall: at(due.as_micros() / 1_000).wall };
    let write = writer.handle(now, Event::Tick);
    let [Action::Write { shard, .. }] = write.as_slice() else {
        panic!("got {write:?}");
    };
    assert!(keys[1..].iter().all(|key| shard.get(key).is_some()), "both calls share the write");
}
