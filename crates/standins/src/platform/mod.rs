//! A stand-in for the platform.
//!
//! [`Server`] implements the API of `kumquattiller_dialect::platform`. Its objects survive a kill.
//! When it runs as a separate process, these additional routes inject faults:
//!
//! | request | effect |
//! |---|---|
//! | `POST /admin/outage?on=true` | every call is answered with 503, including pending watches |
//! | `POST /admin/slowness?ms=N` | every call takes N ms longer |
//! | `POST /admin/lose_answers?count=N` | the next N writes take effect, but their connections are closed without a response |
//! | `PUT /admin/vms/{name}` | adds or replaces a VM in the list after the lag |
//! | `DELETE /admin/vms/{name}` | removes a VM from the list after the lag |
//! | `GET /admin/calls` | returns the numbers of [`Calls`] so far |

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
