//! A stand-in for a plain service.
//!
//! | call | answer |
//! |---|---|
//! | `GET` of any path | 200 with `{"path": …}` |
//! | `POST`, `PUT`, `DELETE` of any path | 200 with `{"path": …, "execution": N}`, the Nth execution of this body |
//! | `GET /admin/executions` | executions by [`Posting`] |
//! | `POST /admin/delay?ms=N` | 204; calls take N ms from now on |
//! | `POST /admin/kill` | ends the server |
//!
//! Executions are counted when a call starts and stay counted over a kill, so that a test sees
//! every double.

mod ledger;
mod routes;
mod server;
mod settings;

pub use ledger::Posting;
pub use server::Server;
pub use settings::Settings;
