//! Tests of a daemon that is paused while it waits for the reply to a heartbeat.

use std::time::Duration;

use kumquattiller_base::daemon::Incarnation;
use kumquattiller_base::time::Moment;
use kumquattiller_membership::Limits;
use kumquattiller_membership::Member;
use kumquattiller_membership::State;
use kumquattiller_membership::Table;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 0x5eed_0006;

fn member(n: u16) -> Member {
    Member {
        id: format!("entry-{n}").parse().unwrap(),
        incarnation: Incarnation::new(1),
        address: ([127, 0, 0, 1], n).into(),
        zone: "pasig".parse().unwrap(),
        state: State::Alive,
    }
}

/// Returns the table after a first round and a second one `pause` later, without any reply.
fn after_two_rounds(pause: Duration) -> Table {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut table = Table::new(member(1), Limits::default());
    table.seed(member(2), Moment::ZERO);
    let heartbeats = table.run_round(Moment::ZERO, &mut rng);
    assert_eq!(heartbeats.len(), 1);
    table.run_round(Moment::ZERO + pause, &mut rng);
    table
}

#[test]
fn reply_missed_during_a_pause_suspects_nobody() {
    let table = after_two_rounds(Duration::from_secs(60));
    assert!(table.all().all(|member| member.state == State::Alive));
    assert_eq!(table.own().incarnation, Incarnation::new(2));
}

#[test]
fn reply_missed_without_a_pause_makes_a_suspect() {
    let table = after_two_rounds(Limits::default().reply_timeout);
    assert!(table.all().all(|member| member.state == State::Suspect));
    assert_eq!(table.own().incarnation, Incarnation::new(1));
}
