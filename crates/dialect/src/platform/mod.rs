//! HTTP protocol of the platform: an object store with conditional requests, and a list of VMs.
//!
//! | call | request | response |
//! |---|---|---|
//! | `GET /objects/{kind}/{name}` | | 200 with `ETag: "VERSION"` and the value, or 404 |
//! | `PUT /objects/{kind}/{name}` | value, `If-Match: "VERSION"` or `If-None-Match: *` | 200 [`Written`], 412 when the condition fails, 413 over [`MAX_VALUE_BYTES`] |
//! | `DELETE /objects/{kind}/{name}` | `If-Match` optional | 204, 404 or 412 |
//! | `GET /objects/{kind}` | | [`List`] |
//! | `GET /objects/{kind}?watch_after=VERSION&wait_ms=N` | | [`Changes`] after at most N ms |
//! | `GET /vms` | | [`Vms`], some seconds out of date |
//!
//! Version numbers increase across all objects of the store. 429 with `Retry-After` means that the
//! rate limit was exceeded, and 503 that the platform is unavailable. When the connection fails
//! during a call, the call may or may not have taken effect.

mod object;
mod vm;

pub use object::Change;
pub use object::Changes;
pub use object::List;
pub use object::MAX_VALUE_BYTES;
pub use object::Object;
pub use object::Written;
pub use vm::Phase;
pub use vm::Vm;
pub use vm::Vms;
