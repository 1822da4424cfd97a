//! HTTP protocol of a model engine.
//!
//! | call | request | response |
//! |---|---|---|
//! | `POST /v1/completions` | [`Completion`] | server-sent events of [`Event`], then `[DONE]` |
//! | `GET /v1/streams/{request}?offset=N` | | the same events from token N on |
//! | `DELETE /v1/streams/{request}` | | 204, also when the stream is unknown |
//! | `POST /v1/prefill` | [`Prefill`] | [`Handle`]: the KV stays on the engine |
//! | `POST /v1/kv/{handle}/export` | | [`Handle`] that other engines can read |
//! | `POST /v1/kv/import` | [`Handle`] of another engine | [`Handle`] on this engine |
//! | `DELETE /v1/kv/{handle}` | | 204, also when the handle is unknown |
//! | `GET /v1/holdings` | | [`Holdings`]: streams and handles that occupy KV memory |
//! | `GET /v1/load` | | [`Load`], with its age |
//! | `GET /v1/cache_events?after=N` | | [`CacheEvents`], delayed and possibly with gaps |
//! | `GET /v1/state` | | [`State`]: models, adapters, versions, role |
//! | `POST /v1/orders` | [`Order`] | 200 [`State`], or 409 for an old fencing number |
//! | `GET /healthz` | | 200 |
//!
//! The response to a rejected call has a status of 400 or above and an [`Error`] as its body.

mod completion;
mod error;
mod event;
mod holdings;
mod load;
mod order;
mod state;

pub use completion::Completion;
pub use completion::Prefill;
pub use error::Error;
pub use event::Event;
pub use holdings::Handle;
pub use holdings::Holdings;
pub use holdings::Stream;
pub use load::CacheEvent;
pub use load::CacheEvents;
pub use load::Load;
pub use order::Command;
pub use order::Order;
pub use order::Role;
pub use state::Adapter;
pub use state::Model;
pub use state::State;
