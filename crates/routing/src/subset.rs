//! The runners that one entry daemon links to.
//!
//! With 1,600 daemons before 10,000 runners nobody may know everybody. A daemon links to a fixed
//! number of runners of its own availability zone, some of the other zones of its region, and a
//! few of other regions to spill over to. Rendezvous hashing picks them: the choice needs no
//! agreement, a runner that comes or goes moves few links, and runners are covered evenly.

use kumquattiller_base::daemon;
use kumquattiller_base::place::Region;
use kumquattiller_base::place::Zone;
use kumquattiller_base::runner::Id;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::table::Distance;

/// Where a daemon or a runner stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The region.
    pub region: Region,
    /// The availability zone.
    pub zone: Zone,
}

/// How many runners to link to, by distance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizes {
    /// Runners of the own availability zone.
    pub own_zone: usize,
    /// Runners of other availability zones of the region.
    pub own_region: usize,
    /// Runners of other regions.
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

/// Returns how far `there` is from `here`.
pub fn distance(here: &Place, there: &Place) -> Distance {
    if here.region != there.region {
        Distance::OtherRegion
    } else if here.zone != there.zone {
        Distance::OwnRegion
    } else {
        Distance::OwnZone
    }
}

/// Returns the runners that a daemon links to, with their distances.
pub fn pick<'a>(
    daemon: &daemon::Id,
    here: &Place,
    runners: impl Iterator<Item = (&'a Id, &'a Place)>,
    sizes: &Sizes,
) -> Vec<(&'a Id, Distance)> {
    let seed = xxh3_64_with_seed(daemon.as_str().as_bytes(), 0);
    let weigh = |(id, place): (&'a Id, &'a Place)| {
        (distance(here, place), xxh3_64_with_seed(id.as_str().as_bytes(), seed), id)
    };
    let mut weighed: Vec<(Distance, u64, &Id)> = runners.map(weigh).collect();
    weighed.sort_unstable();
    let mut taken = [0_usize; 3];
    let mut picked = Vec::new();
    for (distance, _, id) in weighed {
        let count = &mut taken[distance as usize];
        if *count < sizes.of(distance) {
            *count += 1;
            picked.push((id, distance));
        }
    }
    picked
}
