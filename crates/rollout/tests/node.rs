//! One node against messages that come late, out of order or from a single peer.

use std::sync::Arc;

use kumquattiller_base::time::Moment;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use kumquattiller_inventory::section::Items;
use kumquattiller_inventory::section::Section;
use kumquattiller_rollout::holder::State;
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

fn whole(version: u64) -> Message {
    Message::Update(Arc::new(Delta::whole(Version::new(version), &items(version))))
}

fn delta(base: u64, version: u64) -> Message {
    let old = (Version::new(base), &items(base));
    Message::Update(Arc::new(Delta::between(old, (Version::new(version), &items(version)))))
}

fn seconds(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

struct Bench {
    node: Node,
    rng: ChaCha8Rng,
}

impl Bench {
    /// Makes a node that holds version 2 and has the peers `b` and `c`.
    fn new() -> Self {
        let mut bench = Self { node: Node::default(), rng: ChaCha8Rng::seed_from_u64(SEED) };
        bench.node.set_peers(vec!["b".to_owned(), "c".to_owned()]);
        bench.on("b", whole(2), Moment::ZERO);
        bench
    }

    fn on(&mut self, from: &str, message: Message, now: Moment) -> Vec<Action> {
        self.node.on(from, message, now, &mut self.rng)
    }

    /// Returns the nonces of the probes that the node sends to `peer` at `now`.
    fn probes(&mut self, peer: &str, now: Moment) -> Vec<u64> {
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
    let mut bench = Bench::new();
    assert_eq!(bench.on("c", whole(1), seconds(1)), []);
    assert_eq!(bench.node.holder().version(), Version::new(2));
}

#[test]
fn two_sources_are_needed_at_the_start() {
    let mut bench = Bench::new();
    let nonce = bench.probes("b", seconds(1))[0];
    bench.reply("b", nonce, seconds(1));
    assert!(!bench.node.state(seconds(1)).is_ready());
    let nonce = bench.probes("c", seconds(2))[0];
    bench.reply("c", nonce, seconds(2));
    assert_eq!(bench.node.state(seconds(2)), State::Fresh);
}

#[test]
fn reply_that_lay_in_a_buffer_confirms_nothing() {
    let mut bench = Bench::new();
    for peer in ["b", "c"] {
        let now = seconds(if peer == "b" { 1 } else { 2 });
        let nonce = bench.probes(peer, now)[0];
        bench.reply(peer, nonce, now);
    }
    let asked = bench.probes("b", seconds(3))[0];
    bench.reply("b", asked, seconds(33));
    assert!(matches!(bench.node.state(seconds(33)), State::Stale { .. }));
}

#[test]
fn reply_in_the_name_of_another_confirms_nothing() {
    let mut bench = Bench::new();
    let nonce = bench.probes("b", seconds(1))[0];
    bench.reply("c", nonce, seconds(1));
    bench.reply("b", nonce, seconds(1));
    assert!(!bench.node.state(seconds(1)).is_ready());
}

#[test]
fn higher_version_on_a_probe_is_fetched() {
    let mut bench = Bench::new();
    let probe = Message::Probe { nonce: 9, version: Version::new(5) };
    let actions = bench.on("c", probe, seconds(1));
    let fetch = Message::Fetch { have: Version::new(2) };
    assert!(actions.contains(&Action::Send { to: "c".to_owned(), message: fetch }));
}

#[test]
fn gap_is_fetched_and_lower_peers_are_served() {
    let mut bench = Bench::new();
    let fetch = Message::Fetch { have: Version::new(2) };
    let expected = [Action::Send { to: "c".to_owned(), message: fetch }];
    assert_eq!(bench.on("c", delta(3, 4), seconds(1)), expected);
    bench.on("c", delta(2, 4), seconds(1));
    assert_eq!(bench.node.holder().version(), Version::new(4));
    let served = bench.on("b", Message::Fetch { have: Version::new(2) }, seconds(1));
    assert_eq!(served, [Action::Send { to: "b".to_owned(), message: delta(2, 4) }]);
    let served = bench.on("b", Message::Fetch { have: Version::NONE }, seconds(1));
    assert_eq!(served, [Action::Send { to: "b".to_owned(), message: whole(4) }]);
}
