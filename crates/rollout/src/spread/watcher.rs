use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of daemons of an availability zone that watch the platform's store.
pub const WATCHERS_PER_ZONE: usize = 3;

/// Returns whether the daemon `own` is one of the watchers of `zone`, given the ids of its live
/// members.
///
/// The watchers are the members with the highest rendezvous hashes. `own` counts as a member
/// whether or not `members` contains it.
pub fn is_watcher<'a>(zone: &str, own: &str, members: impl IntoIterator<Item = &'a str>) -> bool {
    let own_weight = weight(zone, own);
    let higher = members.into_iter().filter(|m| *m != own && weight(zone, m) > own_weight);
    higher.take(WATCHERS_PER_ZONE).count() < WATCHERS_PER_ZONE
}

/// Returns the rendezvous hash of a member for a zone.
fn weight(zone: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64(zone.as_bytes()))
}
