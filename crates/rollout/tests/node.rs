//! A node that receives messages late, out of order or from a single peer.

use std::sync::Arc;

use kumquattiller_base::time::Moment;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use kumquattiller_inventory::section::Items;
use kumquattiller_inventory::section::Section;
use kumquattiller_rollout::replica::State;
use kumquattiller_rollout::spread::Action;
use kumquattiller_rollout::spread::Message;
use kumquattiller_rollout::spread::Node;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

const SEED: u64 = 0x5eed_0004;

fn items(version: u64) -> Items {
    let mut items = Items::default();
    items.insert(Section::Accounts, "a".to_owned(), json!({"id": "a", "credential": version}));
    items
}

fn full(version: u64) -> Message {
    Message::Update(Arc::new(Delta::full(Version::new(version), &items(version))))
}

fn delta(base: u64, version: u64) -> Message {
    let old = (Version::new(base), &items(base));
    Message::Update(Arc::new(Delta::between(old, (Version::new(version), &items(version)))))
}

fn seconds(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

struct Harness {
    node: Node,
    rng: ChaCha8Rng,
}

impl Harness {
    /// Creates a node at version 2 with the peers `b` and `c`.
    fn new() -> Self {
        let mut harness = Self { node: Node::default(), rng: ChaCha8Rng::seed_from_u64(SEED) };
        harness.node.set_peers(vec!["b".to_owned(), "c".to_owned()]);
        harness.on("b", full(2), Moment::ZERO);
        harness
    }

    fn on(&mut self, from: &str, message: Message, now: Moment) -> Vec<Action> {
        self.node.on_message(from, message, now, &mut self.rng)
    }

    /// Runs the timers at `now` and returns the nonces of the probes sent to `peer`.
    fn probe_nonces(&mut self, peer: &str, now: Moment) -> Vec<u64> {
        let actions = self.node.tick(now, &mut self.rng);
        let nonce = |action| match action {
            Action::Send { to, message: Message::Probe { nonce, .. } } if to == peer => Some(nonce),
            _ => None,
        };
        actions.into_iter().filter_map(nonce).collect()
    }

    fn reply(&mut self, from: &str, nonce: u64, now: Moment) {
        let message = Message::Reply { nonce, version: Version::new(2), ready: true };
        self.on(from, message, now);
    }
}

#[test]
fn old_version_that_comes_late_is_ignored() {
    let mut harness = Harness::new();
    assert_eq!(harness.on("c", full(1), seconds(1)), []);
    assert_eq!(harness.node.replica().version(), Version::new(2));
}

#[test]
fn two_sources_are_needed_at_the_start() {
    let mut harness = Harness::new();
    let nonce = harness.probe_nonces("b", seconds(1))[0];
    harness.reply("b", nonce, seconds(1));
    assert!(!harness.node.state(seconds(1)).is_ready());
    let nonce = harness.probe_nonces("c", seconds(2))[0];
    harness.reply("c", nonce, seconds(2));
    assert_eq!(harness.node.state(seconds(2)), State::Fresh);
}

#[test]
fn reply_to_an_old_probe_confirms_nothing() {
    let mut harness = Harness::new();
    for peer in ["b", "c"] {
        let now = seconds(if peer == "b" { 1 } else { 2 });
        let nonce = harness.probe_nonces(peer, now)[0];
        harness.reply(peer, nonce, now);
    }
    let nonce = harness.probe_nonces("b", seconds(3))[0];
    harness.reply("b", nonce, seconds(33));
    assert!(matches!(harness.node.state(seconds(33)), State::Stale { .. }));
}

#[test]
fn reply_of_another_peer_confirms_nothing() {
    let mut harness = Harness::new();
    let nonce = harness.probe_nonces("b", seconds(1))[0];
    harness.reply("c", nonce, seconds(1));
    harness.reply("b", nonce, seconds(1));
    assert!(!harness.node.state(seconds(1)).is_ready());
}

#[test]
fn higher_version_on_a_probe_is_fetched() {
    let mut harness = Harness::new();
    let probe = Message::Probe { nonce: 9, version: Version::new(5) };
    let actions = harness.on("c", probe, seconds(1));
    let fetch = Message::Fetch { have: Version::new(2) };
    assert!(actions.contains(&Action::Send { to: "c".to_owned(), message: fetch }));
}

#[test]
fn gap_is_fetched_and_lower_peers_are_served() {
    let mut harness = Harness::new();
    let fetch = Message::Fetch { have: Version::new(2) };
    let expected = [Action::Send { to: "c".to_owned(), message: fetch }];
    assert_eq!(harness.on("c", delta(3, 4), seconds(1)), expected);
    harness.on("c", delta(2, 4), seconds(1));
    assert_eq!(harness.node.replica().version(), Version::new(4));
    let served = harness.on("b", Message::Fetch { have: Version::new(2) }, seconds(1));
    assert_eq!(served, [Action::Send { to: "b".to_owned(), message: delta(2, 4) }]);
    let served = harness.on("b", Message::Fetch { have: Version::NONE }, seconds(1));
    assert_eq!(served, [Action::Send { to: "b".to_owned(), message: full(4) }]);
}
