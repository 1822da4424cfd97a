//! A stand-in for a plain service.
//!
//! | request | response |
//! |---|---|
//! | `GET` of any path | 200 with `{"path": …}` |
//! | `POST`, `PUT`, `DELETE` of any path | 200 with `{"path": …, "execution": N}` for the Nth execution of this [`Call`] |
//! | `GET /admin/executions` | number of executions of each [`Call`] |
//! | `POST /admin/delay?ms=N` | 204; sets the delay of later calls to N ms |
//! | `POST /admin/kill` | kills the server |
//!
//! Executions are counted when a call starts, and the counts survive a kill, so that a test
//! detects every duplicate execution.

mod routes;
mod server;
mod settings;
mod state;

pub use server::Server;
pub use settings::Settings;
pub use state::Call;
