//! Reuse of prompt prefixes that servers still hold.
//!
//! An engine that keeps the KV memory of finished requests answers a prompt sooner if it has computed
//! the beginning of that prompt before. Many requests may share beginnings, such as long sessions
//! or common instructions. For each request, [`Table::copies`] says which servers probably hold a beginning of it, and [`Copy::saved_ms`] how much prefill that
//! saves. Placement weighs this against everything else that a server costs, so a loaded server loses
//! the requests that share a prefix to others, which then hold it as well.
//!
//! What a server holds is a belief: from the requests that this daemon has sent there, and from
//! reports of the peers on the prefixes that they use most. It ends with the server's incarnation,
//! with the capacity of its cache, and after [`RETENTION`].
//!
//! It applies only to services whose configuration states that their engines keep prefixes.

mod cache;
mod copy;
mod digest;
mod report;
mod reuse;
mod table;

pub use copy::Copy;
pub use copy::RETENTION;
pub use digest::Prefix;
pub use report::Report;
pub use reuse::Reuse;
pub use table::MAX_REPORTS;
pub use table::Table;
