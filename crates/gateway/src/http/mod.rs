//! HTTP: the listener for callers, connections to backend servers, and the handling of a request.
//!
//! A request is admitted (route, client account, body), placed on a server, and sent. Depending on
//! the verdict on the response, the response goes back to the caller, the request is retried on
//! another server, or it is refused.

mod admission;
mod body;
mod head_limit;
mod listener;
mod place;
mod pool;
mod reply;
mod request;
mod retry;
mod run;
mod send;
mod verdict;

pub use body::Memory as ResponseMemory;
pub use listener::listen;
pub use listener::serve_metrics;
pub use listener::serve_ready;
pub use pool::Connection;
pub use pool::Pool;
pub use reply::Body;
pub use reply::Refusal;
pub use reply::from_parts as response_from_parts;
pub use request::Request;
pub use retry::memory_retry_delay;
pub use retry::outage_retry_delay;
pub use run::wait_while_alive;
pub use send::Exchange;
pub use send::Received;
pub use send::send;
pub use verdict::Position;
pub use verdict::Verdict;
pub use verdict::classify;
