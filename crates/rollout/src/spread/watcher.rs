use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Daemons of an availability zone that watch the platform's store.
pub const WATCHERS_PER_ZONE: usize = 3;

/// Tells whether `own` is among the watchers of `zone`, given the ids of its live members.
///
/// `own` counts as a member whether or not it is listed.
pub fn is_watcher<'a>(zone: &str, own: &str, members: impl IntoIterator<Item = &'a str>) -> bool {
    let own_weight = weight(zone, own);
    let heavier = members.into_iter().filter(|m| *m != own && weight(zone, m) > own_weight);
    heavier.take(WATCHERS_PER_ZONE).count() < WATCHERS_PER_ZONE
}

fn weight(zone: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64(zone.as_bytes()))
}
