use kumquattiller_base::daemon;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::shard::Number;

/// Returns the daemon that best writes a shard, by rendezvous hashing.
///
/// Every daemon with the same list comes to the same answer, and a change of the list moves only
/// the shards of the daemon that came or went. Daemons with different lists merely conflict more
/// often: correctness rests on the store's version check.
pub fn preferred<'a>(
    shard: Number,
    daemons: impl IntoIterator<Item = &'a daemon::Id>,
) -> Option<&'a daemon::Id> {
    let weight =
        |daemon: &daemon::Id| xxh3_64_with_seed(daemon.as_str().as_bytes(), u64::from(shard.get()));
    daemons.into_iter().max_by_key(|daemon| (weight(daemon), daemon.as_str()))
}
