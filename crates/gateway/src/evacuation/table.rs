use std::collections::BTreeSet;

use kumquattiller_base::place::Zone;

use crate::evacuation::Difference;

/// The evacuated availability zones.
#[derive(Debug, Default)]
pub struct Table {
    zones: BTreeSet<Zone>,
}

impl Table {
    /// Replaces all zones by a complete list; returns what has changed.
    pub fn replace(&mut self, zones: impl IntoIterator<Item = Zone>) -> Difference {
        let zones: BTreeSet<Zone> = zones.into_iter().collect();
        let difference = Difference {
            added: zones.difference(&self.zones).cloned().collect(),
            removed: self.zones.difference(&zones).cloned().collect(),
        };
        self.zones = zones;
        difference
    }

    /// Adds a zone; returns whether it was not evacuated before.
    pub fn put(&mut self, zone: Zone) -> bool {
        self.zones.insert(zone)
    }

    /// Removes a zone; returns whether it was evacuated.
    pub fn remove(&mut self, zone: &Zone) -> bool {
        self.zones.remove(zone)
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &Zone) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the evacuated zones in the order of their names.
    pub fn zones(&self) -> impl ExactSizeIterator<Item = &Zone> {
        self.zones.iter()
    }
}
