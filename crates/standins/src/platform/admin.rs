//! Routes that inject faults into a platform that runs as a separate process.

use std::time::Duration;

use kumquattiller_dialect::platform::Vm;
use poem::Route;
use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;
use poem::web::Json;
use poem::web::Path;
use poem::web::Query;
use serde::Deserialize;

use crate::platform::Calls;
use crate::platform::server::Shared;

/// Returns the routes below `/admin`.
pub(super) fn routes() -> Route {
    Route::new()
        .at("/outage", poem::post(outage))
        .at("/slowness", poem::post(slowness))
        .at("/lose_answers", poem::post(lose_answers))
        .at("/vms/:name", poem::put(set_vm).delete(remove_vm))
        .at("/calls", poem::get(calls))
}

#[derive(Deserialize)]
struct OutageQuery {
    on: bool,
}

#[handler]
fn outage(shared: Data<&Shared>, outage: Query<OutageQuery>) -> StatusCode {
    shared.set_outage(outage.on);
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct SlownessQuery {
    ms: u64,
}

#[handler]
fn slowness(shared: Data<&Shared>, slowness: Query<SlownessQuery>) -> StatusCode {
    shared.lock().faults.slowness = Duration::from_millis(slowness.ms);
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct LossQuery {
    count: u32,
}

#[handler]
fn lose_answers(shared: Data<&Shared>, loss: Query<LossQuery>) -> StatusCode {
    shared.lock().faults.lost_answers = loss.count;
    StatusCode::NO_CONTENT
}

#[handler]
fn set_vm(shared: Data<&Shared>, name: Path<String>, vm: Json<Vm>) -> StatusCode {
    shared.lock().vms.set(&name, Some(vm.0));
    StatusCode::NO_CONTENT
}

#[handler]
fn remove_vm(shared: Data<&Shared>, name: Path<String>) -> StatusCode {
    shared.lock().vms.set(&name, None);
    StatusCode::NO_CONTENT
}

#[handler]
fn calls(shared: Data<&Shared>) -> Json<Calls> {
    Json(shared.lock().calls)
}
