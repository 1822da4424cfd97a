//! The runners that an entry daemon has links to.
//!
//! The [`Pool`] selects the daemon's subset of the registered runners and starts a dialer for
//! each, which keeps a link open and updates the [`Routes`] from load reports. A [`Call`] sends
//! one attempt over such a link; the dialer delivers its [`Reply`] frames through the [`Remote`].

mod call;
mod dialer;
mod pool;
mod remote;
mod reply;
mod routes;

pub use call::Call;
pub use call::RECONNECT_TIMEOUT;
pub use call::Tail;
pub use pool::Pool;
pub use remote::Remote;
pub use reply::Reply;
pub use routes::Routes;
