//! A stand-in for the platform.
//!
//! [`Server`] answers the calls of `kumquattiller_dialect::platform`. Its objects outlast a kill.
//! Besides, for the process form:
//!
//! | call | effect |
//! |---|---|
//! | `POST /admin/outage?on=true` | every call answers 503, also waiting watches |
//! | `POST /admin/slowness?ms=N` | every call takes N ms more |
//! | `POST /admin/lose_answers?count=N` | the next N writes take effect but their connections are cut |
//! | `PUT /admin/vms/{name}` | sets a VM of the list, which shows it after the lag |
//! | `DELETE /admin/vms/{name}` | removes it, after the lag |
//! | `GET /admin/calls` | calls so far |

mod admin;
mod calls;
mod faults;
mod routes;
mod server;
mod settings;
mod store;
mod vms;

pub use calls::Calls;
pub use server::Server;
pub use settings::Settings;
