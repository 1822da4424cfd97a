//! Selection of the runners that an entry daemon connects to.
//!
//! With 1,600 daemons and 10,000 runners, linking every daemon to every runner would take too many
//! connections. A daemon connects to a limited number of runners in its own availability zone, some
//! in the other zones of its region, and a few in other regions for overflow. Rendezvous hashing
//! selects them: it needs no coordination, adding or removing a runner changes few links, and links
//! are spread evenly over the runners.

use kumquattiller_base::daemon;
use kumquattiller_base::place::Region;
use kumquattiller_base::place::Zone;
use kumquattiller_base::runner::Id;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::table::Distance;

/// Location of a daemon or a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The region.
    pub region: Region,
    /// The availability zone.
    pub zone: Zone,
}

/// Maximum number of runners to connect to, by distance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizes {
    /// Runners in the daemon's availability zone.
    pub own_zone: usize,
    /// Runners in other availability zones of the daemon's region.
    pub own_region: usize,
    /// Runners in other regions.
    pub other_region: usize,
}

impl Default for Sizes {
    fn default() -> Self {
        Self { own_zone: 48, own_region: 32, other_region: 8 }
    }
}

impl Sizes {
    const fn of(&self, distance: Distance) -> usize {
        match distance {
            Distance::OwnZone => self.own_zone,
            Distance::OwnRegion => self.own_region,
            Distance::OtherRegion => self.other_region,
        }
    }
}

/// Returns the distance class of `to` as seen from `from`.
pub fn distance(from: &Place, to: &Place) -> Distance {
    if from.region != to.region {
        Distance::OtherRegion
    } else if from.zone != to.zone {
        Distance::OwnRegion
    } else {
        Distance::OwnZone
    }
}

/// Returns the runners that a daemon connects to, with their distances.
pub fn pick<'a>(
    daemon: &daemon::Id,
    daemon_place: &Place,
    runners: impl Iterator<Item = (&'a Id, &'a Place)>,
    sizes: &Sizes,
) -> Vec<(&'a Id, Distance)> {
    let seed = xxh3_64_with_seed(daemon.as_str().as_bytes(), 0);
    let rank = |(id, place): (&'a Id, &'a Place)| {
        (distance(daemon_place, place), xxh3_64_with_seed(id.as_str().as_bytes(), seed), id)
    };
    let mut ranked: Vec<(Distance, u64, &Id)> = runners.map(rank).collect();
    ranked.sort_unstable();
    let mut picked_counts = [0_usize; 3];
    let mut picked = Vec::new();
    for (distance, _, id) in ranked {
        let picked_count = &mut picked_counts[distance as usize];
        if *picked_count < sizes.of(distance) {
            *picked_count += 1;
            picked.push((id, distance));
        }
    }
    picked
}
