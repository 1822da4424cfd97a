//! Regions in which requests may run.
//!
//! A route and a client account may each name the regions in which their requests run; where both
//! do, both bind. A request without such rules is bound by none.

mod allowed;

pub use allowed::Allowed;
pub use allowed::NoRegion;
