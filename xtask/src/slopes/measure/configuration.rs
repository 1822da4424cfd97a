use kumquattiller_inventory::section::Items;
use kumquattiller_inventory::shard;
use kumquattiller_inventory::shard::Manifest;

use crate::Error;
use crate::slopes::sample;
use crate::slopes::series::Series;

/// Measured numbers of runners.
const RUNNERS: [usize; 4] = [100, 1_000, 5_000, 10_000];
/// Client accounts per runner, as at the two-year size.
const ACCOUNTS_PER_RUNNER: f64 = 0.32;

/// Splits configurations of different sizes into shards and measures what changing the address of
/// one runner writes.
///
/// # Errors
///
/// Fails when the generated JSON no longer matches the types of the configuration.
pub fn measure() -> Result<Vec<Series>, Error> {
    let (mut manifests, mut largest, mut objects, mut changed) = (vec![], vec![], vec![], vec![]);
    for runners in RUNNERS {
        let accounts = (runners as f64 * ACCOUNTS_PER_RUNNER) as usize;
        let mut configuration = sample::configuration(runners, accounts)?;
        let before = Items::of(&configuration);
        let empty = (Manifest::default(), Items::default());
        let (manifest, shards) = shard::split(&before, (&empty.0, &empty.1), "first");
        configuration.register.runners[0].address = "10.200.0.1:7200".parse()?;
        let after = Items::of(&configuration);
        let (updated_manifest, written) = shard::split(&after, (&manifest, &before), "second");
        let sizes = shards.values().map(|s| serde_json::to_vec(s).map(|v| v.len()));
        let sizes: Vec<usize> = sizes.collect::<Result<_, _>>()?;
        let written_bytes: usize = written
            .values()
            .map(|s| serde_json::to_vec(s).map(|v| v.len()))
            .sum::<Result<_, _>>()?;
        let x = runners as f64;
        manifests.push((x, serde_json::to_vec(&updated_manifest)?.len() as f64));
        largest.push((x, sizes.iter().copied().max().unwrap_or_default() as f64));
        objects.push((x, sizes.len() as f64));
        changed.push((x, written_bytes as f64));
    }
    let x_label = "runners, with 0.32 client accounts each";
    Ok(vec![
        Series::new(
            "store.manifest",
            "size of the manifest after a change",
            x_label,
            "B",
            manifests,
        ),
        Series::new("store.largest_shard", "size of the largest shard", x_label, "B", largest),
        Series::new("store.shards", "shard objects", x_label, "objects", objects),
        Series::new("store.change", "shard bytes written by a change", x_label, "B", changed),
    ])
}
