//! Tests of an entry daemon's view: subsets of runners, divisions by size and cached prefixes.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::runner::Id;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::interval::Meter;
use kumquattiller_routing::prefix;
use kumquattiller_routing::prefix::Index;
use kumquattiller_routing::subset;
use kumquattiller_routing::subset::Place;
use kumquattiller_routing::subset::Sizes;
use kumquattiller_routing::table::Distance;
use test_case::test_case;

fn place(number: usize) -> Place {
    let zone = format!("zone-{}", number % 18).parse().unwrap();
    Place { region: format!("region-{}", number % 18 % 5).parse().unwrap(), zone }
}

fn fleet(count: usize) -> Vec<(Id, Place)> {
    (0..count).map(|n| (format!("runner-{n}").parse().unwrap(), place(n))).collect()
}

#[test]
fn subsets_cover_the_fleet_of_the_target_evenly() {
    let runners = fleet(10_000);
    let mut links: HashMap<&Id, usize> = HashMap::new();
    for number in 0..1_600 {
        let daemon = format!("entry-{number}").parse().unwrap();
        let all = runners.iter().map(|(id, place)| (id, place));
        let picked = subset::pick(&daemon, &place(number), all, &Sizes::default());
        assert_eq!(picked.iter().filter(|(_, d)| *d == Distance::OwnZone).count(), 48);
        assert_eq!(picked.len(), 88);
        for (id, _) in picked {
            *links.entry(id).or_default() += 1;
        }
    }
    let mean = 1_600.0 * 88.0 / 10_000.0;
    assert_eq!(links.len(), runners.len(), "a runner without links");
    let most = links.values().copied().max().unwrap_or_default();
    assert!((most as f64) < mean * 2.5, "{most} links, {mean} on average");
}

#[test]
fn a_small_fleet_is_linked_whole() {
    let runners = fleet(18 * 3);
    let all = runners.iter().map(|(id, place)| (id, place));
    let sizes = Sizes { own_zone: 48, own_region: 64, other_region: 64 };
    let picked = subset::pick(&"entry-1".parse().unwrap(), &place(0), all, &sizes);
    assert_eq!(picked.len(), runners.len());
}

#[test]
fn removing_a_runner_moves_no_other_link() {
    let runners = fleet(2_000);
    let daemon = "entry-1".parse().unwrap();
    let pick = |gone: Option<&Id>| -> Vec<Id> {
        let all = runners.iter().filter(|(id, _)| Some(id) != gone).map(|(id, p)| (id, p));
        let picked = subset::pick(&daemon, &place(0), all, &Sizes::default());
        picked.into_iter().map(|(id, _)| id.clone()).collect()
    };
    let before = pick(None);
    let after = pick(Some(&before[0]));
    assert_eq!(before.iter().filter(|id| after.contains(id)).count(), before.len() - 1);
}

#[test_case(&[(2_000, 100)], 0; "only short prompts")]
#[test_case(&[(2_000, 50), (300_000, 50)], 5; "half the work is long")]
#[test_case(&[(300_000, 100)], 9; "short ones keep an engine")]
fn dedicated_engines_follow_the_work(work: &[(u64, u64)], long_engines: usize) {
    let mut meter = Meter::default();
    for &(prompt, seconds) in work {
        meter.observe(Tokens::new(prompt), Duration::from_secs(seconds), Moment::ZERO);
    }
    assert_eq!(meter.division(10).long_engines, long_engines);
}

#[test]
fn the_cutoff_rises_when_rounding_leaves_too_few_engines() {
    let mut meter = Meter::default();
    for (prompt, seconds) in [(2_000, 60), (12_000, 10), (300_000, 30)] {
        meter.observe(Tokens::new(prompt), Duration::from_secs(seconds), Moment::ZERO);
    }
    let division = meter.division(3);
    assert_eq!(division.long_engines, 1);
    assert!(division.cutoff >= Tokens::new(12_000));
    assert!(division.cutoff < Tokens::new(300_000));
}

#[test]
fn work_seen_long_ago_is_forgotten() {
    let mut meter = Meter::default();
    meter.observe(Tokens::new(300_000), Duration::from_secs(100), Moment::ZERO);
    let later = Moment::from_millis(300_000);
    meter.observe(Tokens::new(2_000), Duration::from_secs(100), later);
    assert_eq!(meter.division(10).long_engines, 0);
}

#[test_case(0, &[]; "no whole block")]
#[test_case(1, &[0]; "one block")]
#[test_case(5, &[0, 1, 3]; "five blocks")]
#[test_case(8, &[0, 1, 3, 7]; "eight blocks")]
fn prefixes_double_in_length(count: u64, expected: &[u64]) {
    let blocks: Vec<u64> = (0..count).collect();
    assert_eq!(prefix::sample(&blocks), expected);
}

#[test]
fn the_index_drops_evicted_prefixes_and_entries_from_before_a_gap() {
    let mut index = Index::default();
    let (one, two): (Id, Id) = ("runner-1".parse().unwrap(), "runner-2".parse().unwrap());
    index.record(&one, &[1, 2, 3], Moment::ZERO);
    assert_eq!(index.holder(&[1, 2, 3, 4]), Some((&one, prefix::tokens(2))));
    index.record_eviction(&one, &[3]);
    assert_eq!(index.holder(&[1, 2, 3, 4]), Some((&one, prefix::tokens(1))));
    index.record_eviction(&two, &[2]);
    assert_eq!(index.holder(&[1, 2, 3, 4]), Some((&one, prefix::tokens(1))));
    index.record_gap(&one);
    assert_eq!(index.holder(&[1, 2, 3, 4]), None);
    index.record(&one, &[1], Moment::ZERO);
    assert_eq!(index.holder(&[1, 2, 3, 4]), Some((&one, prefix::tokens(0))));
}
