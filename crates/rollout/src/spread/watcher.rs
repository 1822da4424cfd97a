use kumquattiller_base::rendezvous::Job;

/// Number of daemons of an availability zone that watch the platform's store.
pub const WATCHERS_PER_ZONE: usize = 3;

/// Returns whether the daemon `own` is one of the watchers of `zone`, given the ids of its live
/// members.
///
/// The watchers are the members with the highest rendezvous hashes. `own` counts as a member
/// whether or not `members` contains it.
pub fn is_watcher<'a>(zone: &str, own: &str, members: impl IntoIterator<Item = &'a str>) -> bool {
    Job::named(zone).is_chosen(own, WATCHERS_PER_ZONE, members)
}
