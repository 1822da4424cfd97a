use kumquattiller_base::daemon;
use kumquattiller_base::rendezvous::Job;

use crate::shard::Number;

/// Returns the daemon that should preferably write a shard, chosen by rendezvous hashing.
///
/// Daemons with the same list choose the same writer, and adding or removing a daemon moves only
/// the shards of that daemon. Daemons with different lists only cause more write conflicts:
/// correctness depends on the store's version check alone.
pub fn preferred_writer<'a>(
    shard: Number,
    daemons: impl IntoIterator<Item = &'a daemon::Id>,
) -> Option<&'a daemon::Id> {
    let job = Job::new(u64::from(shard.get()));
    daemons.into_iter().max_by_key(|daemon| (job.weight(daemon.as_str()), daemon.as_str()))
}
