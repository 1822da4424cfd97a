//! The listener of callers, connections to servers, and the way of one request.

mod admission;
mod answer;
mod dial;
mod job;
mod listener;
mod place;
mod pool;
mod reply;
mod retry;
mod run;
mod send;

pub use answer::Verdict;
pub use answer::judge;
pub use dial::dial;
pub use dial::tune;
pub use job::Job;
pub use listener::listen;
pub use listener::serve_metrics;
pub use listener::serve_ready;
pub use pool::Connection;
pub use pool::Pool;
pub use reply::Body;
pub use reply::Refusal;
pub use reply::answer as answer_of;
pub use retry::outage_retry;
pub use retry::room_retry;
pub use run::patient;
pub use send::Answered;
pub use send::Sent;
pub use send::send;
