//! Jobs: attempts that this process runs or has run, with their buffered answers.

mod end;
mod entry;
mod part;
mod table;

pub use end::End;
pub use entry::Job;
pub use part::Part;
pub use table::Table;
