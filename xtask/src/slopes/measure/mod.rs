//! The measurements, one module for each group.

mod accounts;
mod configuration;
mod daemons;
mod held;
mod links;
mod rate;

pub use accounts::measure as accounts;
pub use configuration::measure as configuration;
pub use daemons::measure as daemons;
pub use held::hold;
pub use held::measure as held;
pub use links::measure as links;
pub use rate::measure as rate;
