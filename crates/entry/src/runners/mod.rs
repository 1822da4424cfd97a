//! The runners that an entry daemon has links to.

mod call;
mod dialer;
mod pool;
mod remote;
mod reply;
mod routes;

pub use call::Call;
pub use call::REJOIN_LIMIT;
pub use call::Tail;
pub use pool::Pool;
pub use remote::Remote;
pub use reply::Reply;
pub use routes::Routes;
