//! Routing, admission, account limits and long prompts.
//!
//! Prompts from a thousand to a million tokens share one fleet. A long prefill slows every request
//! that decodes on the same engine, and a request that waits for memory blocks those queued behind
//! it. Where and when a request starts therefore decides whether short requests meet their
//! deadlines.
//!
//! A request passes these steps:
//!
//! 1. [`account::Limit`] charges its tokens to this daemon's share of the client account's limit.
//! 2. [`router::Router`] in the entry daemon picks a runner from its [`table::Table`], a stale and
//!    partial view of one service. The choice is a proposal that the runner may refuse.
//! 3. [`admission::Gate`] in the runner process admits, queues or refuses the request. A refusal
//!    carries an error kind and a retry delay, and the router tries the next runner at once.
//! 4. A prompt larger than one engine goes through [`long::Reservation`] instead.
//!
//! None of these types does I/O: they take events and the current
//! [`Moment`](kumquattiller_base::time::Moment) and return decisions. Random numbers come from the
//! generator that the caller passes. Each choice carries its [`choice::Reason`] for
//! `kumquattiller explain`.

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
pub mod queue;
pub mod request;
pub mod router;
pub mod subset;
pub mod table;
