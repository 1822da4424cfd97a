use kumquattiller_inventory::section::Items;
use kumquattiller_inventory::shard;
use kumquattiller_inventory::shard::Manifest;

use crate::Failure;
use crate::slopes::sample;
use crate::slopes::series::Series;

/// Numbers of runners.
const RUNNERS: [usize; 4] = [100, 1_000, 5_000, 10_000];
/// Client accounts for each runner, as at the two-year size.
const ACCOUNTS_PER_RUNNER: f64 = 0.32;

/// Lays out configurations of rising sizes and a change of one runner in each.
///
/// # Errors
///
/// Fails when the types of the register have changed.
pub fn measure() -> Result<Vec<Series>, Failure> {
    let (mut manifests, mut largest, mut objects, mut changed) = (vec![], vec![], vec![], vec![]);
    for runners in RUNNERS {
        let accounts = (runners as f64 * ACCOUNTS_PER_RUNNER) as usize;
        let mut configuration = sample::configuration(runners, accounts)?;
        let before = Items::of(&configuration);
        let none = (Manifest::default(), Items::default());
        let (manifest, shards) = shard::split(&before, (&none.0, &none.1), "first");
        configuration.register.runners[0].address = "10.200.0.1:7200".parse()?;
        let after = Items::of(&configuration);
        let (next, written) = shard::split(&after, (&manifest, &before), "second");
        let sizes = shards.values().map(|s| serde_json::to_vec(s).map(|v| v.len()));
        let sizes: Vec<usize> = sizes.collect::<Result<_, _>>()?;
        let new: usize = written
            .values()
            .map(|s| serde_json::to_vec(s).map(|v| v.len()))
            .sum::<Result<_, _>>()?;
        let x = runners as f64;
        manifests.push((x, serde_json::to_vec(&next)?.len() as f64));
        largest.push((x, sizes.iter().copied().max().unwrap_or_default() as f64));
        objects.push((x, sizes.len() as f64));
        changed.push((x, new as f64));
    }
    let by = "runners, with 0.32 client accounts each";
    Ok(vec![
        Series::new("store.manifest", "size of the manifest after a change", by, "B", manifests),
        Series::new("store.largest_shard", "size of the largest shard", by, "B", largest),
        Series::new("store.shards", "shard objects", by, "objects", objects),
        Series::new("store.change", "shard bytes written by a change", by, "B", changed),
    ])
}
