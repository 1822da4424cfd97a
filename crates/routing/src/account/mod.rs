//! Token-rate limits of client accounts, shared between entry daemons.
//!
//! Each daemon enforces its share of an account's limit on its own. The limit is divided in
//! proportion to demand: daemons publish to each other how many tokens a second their callers
//! request. Their views differ, so each daemon counts a rise of its own demand only once the others
//! should have received it, and counts the highest recent demand of each other daemon. While some
//! daemons are silent, it scales its share down to the fraction of daemons that it hears from. In
//! addition each daemon always has an equal part of
//! [`EQUAL_FRACTION`](limit::EQUAL_FRACTION) of the limit, so that a caller of an idle daemon is
//! served at once.
//!
//! All shares together never exceed the limit times [`MAX_FACTOR`](limit::MAX_FACTOR), provided
//! that demands are exchanged each second and arrive within that second, and that a network
//! partition cuts both directions. A daemon counts a peer as silent after
//! [`PEER_TIMEOUT`](demand::PEER_TIMEOUT). This is shorter than
//! [`PROPAGATION_TIME`](demand::PROPAGATION_TIME), so the daemon scales its share down before the
//! unreachable peer starts to use a rise of demand that the daemon did not receive.

pub mod demand;
pub mod limit;

pub use demand::Demand;
pub use limit::Limit;
pub use limit::Refusal;
