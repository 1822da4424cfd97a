//! Routing, admission, account limits and long prompts.
//!
//! Prompts from a thousand to a million tokens share one fleet. A long prefill slows every
//! decoding request beside it, and a request that waits for memory holds up those behind it, so
//! where and when a request starts decides whether the short ones end in time.
//!
//! A request passes these decisions:
//!
//! 1. [`account::Limit`] takes its tokens from the client account's share of this daemon.
//! 2. [`router::Router`] of the entry daemon picks a runner from its [`table::Table`], a late and
//!    bounded view of one service. The view only proposes.
//! 3. [`admission::Gate`] of the runner process admits, holds or refuses. A refusal names its kind
//!    and when to try again, and the router goes on with the next runner at once.
//! 4. A prompt larger than one engine goes through [`long::Reservation`] instead.
//!
//! All of them are pure: events and the present [`Moment`](kumquattiller_base::time::Moment) go
//! in, decisions come out. Random numbers come from the generator that the caller passes. Each
//! choice carries its [`choice::Reason`] for `kumquattiller explain`.

pub mod account;
pub mod admission;
pub mod band;
pub mod choice;
pub mod interval;
pub mod load;
pub mod long;
pub mod pace;
pub mod policy;
pub mod prefix;
pub mod request;
pub mod router;
pub mod subset;
pub mod table;
