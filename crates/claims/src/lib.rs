//! Claims that let a non-idempotent request start at most once.
//!
//! A request such as a dispatch order or a payment must not run twice, whichever entry daemon
//! receives it and whichever processes fail meanwhile. Only the platform's store survives the
//! failure of any process, so the right to start such a request is a record in the store:
//!
//! 1. An entry daemon that receives a call asks its [`Writer`] for a claim on the
//!    [`Key`](kumquattiller_base::request::Key): client account and `Idempotency-Key`.
//! 2. The writer adds a [`Record`] to the key's [`Shard`], an object in the store, with a write
//!    that is conditional on the version it read. Claims that arrive together share one write.
//! 3. The writer returns a [`Claim`] only after the store has confirmed the write or a later read
//!    has found the writer's own attempt id in the record. A claim cannot be copied, and a record
//!    is never transferred to another attempt, so at most one claim exists for a record.
//! 4. [`Claim::start`] consumes the claim and permits one start. If a runner refuses the request
//!    before starting it, [`Claim::refused`] restores the claim; it requires the refused attempt
//!    as proof.
//! 5. The outcome is written to the record with a later batch. A repeat of the key gets that
//!    outcome, or [`Answer::Held`] while the request may still run, or [`Answer::Unknown`].
//!
//! The writer is a pure state machine that takes events and the time and returns actions. The
//! entry daemon performs the store operations.

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
pub use outcome::Response;
pub use preference::preferred_writer;
pub use record::Attempt;
pub use record::Record;
pub use shard::Shard;
pub use timestamp::Now;
pub use timestamp::Timestamp;
pub use writer::Action;
pub use writer::Answer;
pub use writer::CallId;
pub use writer::ClaimRequest;
pub use writer::Event;
pub use writer::ReadResult;
pub use writer::Settings;
pub use writer::WriteResult;
pub use writer::Writer;
