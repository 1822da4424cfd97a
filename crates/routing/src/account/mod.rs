//! Token-rate limits of client accounts, shared between entry daemons.
//!
//! Each daemon enforces its share of an account's limit on its own. Shares follow demand: daemons
//! tell each other how many tokens a second their callers asked for. Views differ, so a daemon
//! counts its own rising demand only after the others can have heard of it, and the highest recent
//! demand of each other daemon. A daemon that does not hear some of the others takes only the part
//! of those that it hears. Beside that each daemon has an equal part of
//! [`FLOOR_SHARE`](limit::FLOOR_SHARE) of the limit, so that a caller who comes to an idle daemon
//! is served at once.
//!
//! All shares together never exceed the limit times [`MAX_FACTOR`](limit::MAX_FACTOR) while demands
//! are exchanged each second, arrive within the second, and daemons that do not hear each other
//! fail to do so in both directions. A daemon goes without an unheard one after
//! [`UNHEARD_AGE`](demand::UNHEARD_AGE), before that one counts a demand that was not heard, after
//! [`VIEW_AGE`](demand::VIEW_AGE).

pub mod demand;
pub mod limit;

pub use demand::Demand;
pub use limit::Limit;
pub use limit::Refusal;
