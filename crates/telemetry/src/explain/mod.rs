//! The reasons of decisions about recent requests.

mod book;
mod limit;

pub use book::Book;
pub use limit::Limit;
