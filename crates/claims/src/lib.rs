//! Claims that let a non-idempotent request start at most once.
//!
//! A dispatch order or a payment posting must not run twice, whichever entry daemon its caller
//! reaches and whatever dies on the way. The only thing that outlives every process is the
//! platform's store, so the right to start such a request is a record there:
//!
//! 1. An entry daemon that gets a call asks its [`Writer`] for a claim on the
//!    [`Key`](kumquattiller_base::request::Key): account and `Idempotency-Key`.
//! 2. The writer adds a [`Record`] to the key's [`Shard`], an object of the store, by a write that
//!    is conditional on the version it read. Claims that arrive together share one write.
//! 3. Only when the store took the write, or a later read shows the writer's own attempt id in the
//!    record, does the writer hand out a [`Claim`]. It cannot be copied, and nothing ever takes a
//!    record over. So at most one claim exists for a record.
//! 4. Using up the claim with [`Claim::start`] permits one start. A runner that refuses before it
//!    starts anything gives the claim back: [`Claim::refused`] asks for the refused attempt.
//! 5. The outcome is written to the record with a later batch. A repeat of the key gets that
//!    outcome, or [`Answer::Held`] while the request may run, or [`Answer::Unknown`].
//!
//! The writer is a pure state machine: it gets events and the time, and returns actions. The
//! entry daemon does the calls to the store.

mod claim;
mod outcome;
mod preference;
mod record;
pub mod shard;
mod timestamp;
mod writer;

pub use claim::Claim;
pub use claim::Granted;
pub use claim::Lapsed;
pub use claim::Started;
pub use outcome::Outcome;
pub use outcome::Reply;
pub use preference::preferred;
pub use record::Attempt;
pub use record::Record;
pub use shard::Shard;
pub use timestamp::Now;
pub use timestamp::Timestamp;
pub use writer::Action;
pub use writer::Answer;
pub use writer::Call;
pub use writer::Event;
pub use writer::ReadResult;
pub use writer::Settings;
pub use writer::Want;
pub use writer::WriteResult;
pub use writer::Writer;
