//! Shards and deltas lead to the configuration that they were made from.

use std::collections::BTreeMap;

use kumquattiller_inventory::Configuration;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use kumquattiller_inventory::diff::Difference;
use kumquattiller_inventory::section::Items;
use kumquattiller_inventory::section::Section;
use kumquattiller_inventory::shard::Corrupt;
use kumquattiller_inventory::shard::Manifest;
use kumquattiller_inventory::shard::Object;
use kumquattiller_inventory::shard::assemble;
use kumquattiller_inventory::shard::split;
use proptest::prelude::*;
use serde_json::json;

/// Largest value of the platform's store, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Seed of the cases in CI.
const SEED: u64 = 0x5eed_0001;

fn config() -> ProptestConfig {
    let cases = std::env::var("KUMQUATTILLER_CASES").ok().and_then(|n| n.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(64),
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Builds a configuration with `runners` and `accounts`.
fn fleet(runners: usize, accounts: usize) -> Configuration {
    let runner = |n: usize| {
        let address = format!("10.{}.{}.{}:7000", n >> 16, (n >> 8) & 255, n & 255);
        json!({"id": format!("runner-{n:05}"), "service": "language",
            "zone": format!("zone-{:02}", n % 18), "address": address})
    };
    let account = |n: usize| json!({"id": format!("account-{n:04}"), "credential": format!("secret-{n:032}")});
    let rule = |n: usize| json!({"account": format!("account-{n:04}"), "rank": n % 5, "tokens_per_second": 1000 + n});
    serde_json::from_value(json!({
        "version": 0,
        "register": {
            "places": [{"region": "one", "zones": ["zone-00"]}],
            "services": [{"name": "language", "kind": "model", "models": ["m"],
                "engine_memory": 450_000}],
            "runners": (0..runners).map(runner).collect::<Vec<_>>(),
            "accounts": (0..accounts).map(account).collect::<Vec<_>>(),
        },
        "rules": {"accounts": (0..accounts).map(rule).collect::<Vec<_>>()},
    }))
    .unwrap()
}

fn bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).unwrap().len()
}

/// Writes an object and reads it back as a store would.
fn stored<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> T {
    serde_json::from_slice(&serde_json::to_vec(value).unwrap()).unwrap()
}

#[test]
fn small_change_writes_one_shard() {
    let (empty, nothing) = (Manifest::default(), Items::default());
    let old = Items::of(&fleet(10_000, 3_200));
    let (first, written) = split(&old, (&empty, &nothing), "a");
    assert!(written.values().all(|shard| bytes(shard) < MAX_VALUE_BYTES / 4));
    assert!(bytes(&first) < MAX_VALUE_BYTES / 4);

    let mut new = old.clone();
    let mut runner = old.get(Section::Runners, "runner-04711").unwrap().clone();
    runner["zone"] = json!("zone-17");
    new.insert(Section::Runners, "runner-04711".to_owned(), runner);
    let (second, changed) = split(&new, (&first, &old), "b");
    assert_eq!(changed.len(), 1);
    assert!(bytes(second.delta.as_ref().unwrap()) < 512);
    println!(
        "shards {} largest {} manifest {} delta {}",
        written.len(),
        written.values().map(bytes).max().unwrap(),
        bytes(&second),
        bytes(second.delta.as_ref().unwrap()),
    );
}

#[test]
fn altered_and_missing_shards_are_refused() {
    let items = Items::of(&fleet(10, 3));
    let (manifest, mut shards) = split(&items, (&Manifest::default(), &Items::default()), "a");
    let name = shards.keys().next().unwrap().clone();
    let mut shard = shards[&name].clone();
    shard.items.values_mut().for_each(|value| *value = json!({"id": "other"}));
    shards.insert(name.clone(), shard);
    assert_eq!(assemble(&manifest, &shards), Err(Corrupt::Altered(name.clone())));
    shards.remove(&name);
    assert_eq!(assemble(&manifest, &shards), Err(Corrupt::Missing(name)));
}

#[test]
fn difference_is_readable_and_hides_credentials() {
    let old = Items::of(&fleet(4, 2));
    let mut changed = fleet(5, 2);
    changed.register.runners.remove(1);
    changed.register.accounts[0].credential = "other".to_owned();
    changed.rules.accounts[1].tokens_per_second = None;
    changed.rules.loads_per_minute = 9;
    let difference = Difference::between(&old, &Items::of(&changed));
    insta::assert_snapshot!("difference_text", difference);
    insta::assert_json_snapshot!("difference_json", difference);
}

#[test]
fn history_tells_own_commits_and_how_far_it_reaches() {
    let (mut manifest, mut items) = (Manifest::default(), Items::default());
    for n in 1..=40 {
        let next = Items::of(&fleet(n, 1));
        manifest = split(&next, (&manifest, &items), &format!("commit-{n}")).0;
        items = next;
    }
    assert_eq!(manifest.version_of("commit-40"), Some(Version::new(40)));
    assert_eq!(manifest.version_of("commit-8"), None);
    assert!(manifest.remembers_since(Version::new(8)));
    assert!(!manifest.remembers_since(Version::new(7)));
}

/// One edit of a fleet: runner number, new zone or removal, and a weight.
fn edits() -> impl Strategy<Value = Vec<(usize, Option<u8>, f64)>> {
    prop::collection::vec((0..400_usize, prop::option::of(0..18_u8), 0.0..1.0_f64), 1..6)
}

fn edit(items: &Items, edits: &[(usize, Option<u8>, f64)]) -> Items {
    let mut items = items.clone();
    for (n, zone, weight) in edits {
        let id = format!("runner-{n:05}");
        match zone {
            None => items.remove(Section::Runners, &id),
            Some(zone) => {
                let address = format!("10.1.{}.{}:7000", n >> 8, n & 255);
                let value = json!({"id": id.clone(), "service": "language",
                    "zone": format!("zone-{zone:02}"), "address": address});
                items.insert(Section::Runners, id, value);
            }
        }
        let rule = json!({"service": "language", "deadline_ms": 1000, "short_weight": weight});
        items.insert(Section::ServiceRules, "language".to_owned(), rule);
    }
    items
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn versions_survive_shards_and_deltas(
        runners in 0..400_usize,
        steps in prop::collection::vec(edits(), 1..5),
    ) {
        let mut store: BTreeMap<String, Object> = BTreeMap::new();
        let (mut manifest, mut items) = (Manifest::default(), Items::default());
        let mut next = Items::of(&fleet(runners, 20));
        let first = next.clone();
        let mut joined: Option<Delta> = None;
        for (n, step) in steps.iter().enumerate() {
            let (made, shards) = split(&next, (&manifest, &items), &format!("c{n}"));
            for (name, shard) in shards {
                store.insert(name, stored(&shard));
            }
            let made = stored(&made);
            prop_assert_eq!(&assemble(&made, &store).unwrap(), &next);
            let whole = stored(&Delta::whole(made.version, &next));
            prop_assert_eq!(&whole.apply(&items).unwrap(), &next);
            let delta = stored(&Delta::between(
                (manifest.version, &items),
                (made.version, &next),
            ));
            prop_assert_eq!(&delta.apply(&items).unwrap(), &next);
            if n > 0 {
                let all = joined.as_ref().map_or(delta.clone(), |joined| joined.then(&delta));
                prop_assert_eq!(&all.apply(&first).unwrap(), &next);
                joined = Some(all);
            }
            prop_assert_eq!(Items::of(&next.configuration(made.version).unwrap()), next.clone());
            manifest = made;
            items = next;
            next = edit(&items, step);
        }
    }
}
