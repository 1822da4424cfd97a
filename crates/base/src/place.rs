//! Regions and availability zones.

use crate::newtype::name;

name!(
    /// Names a region.
    Region
);

name!(
    /// Names an availability zone.
    Zone
);
