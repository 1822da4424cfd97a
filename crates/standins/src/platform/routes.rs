//! Routes of the platform API.

use std::time::Duration;

use kumquattiller_dialect::platform::MAX_VALUE_BYTES;
use kumquattiller_dialect::platform::Written;
use poem::EndpointExt;
use poem::Error;
use poem::IntoResponse;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::endpoint::BoxEndpoint;
use poem::handler;
use poem::http::StatusCode;
use poem::http::header;
use poem::web::Data;
use poem::web::Json;
use poem::web::Path;
use poem::web::Query;
use serde::Deserialize;
use tokio::time::Instant;

use crate::platform::admin;
use crate::platform::server::Shared;
use crate::platform::store::Condition;

/// Maximum time that a watch waits for changes.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Value of `Retry-After` on calls over the rate limit, in seconds.
const RETRY_AFTER_SECONDS: u64 = 1;

/// Whether a call reads or writes objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Access {
    Read,
    Write,
}

/// Builds the endpoint.
pub(super) fn endpoint(shared: Shared) -> BoxEndpoint<'static> {
    Route::new()
        .at("/objects/:kind/:name", poem::get(get).put(put).delete(delete))
        .at("/objects/:kind", poem::get(list))
        .at("/vms", poem::get(vms))
        .at("/healthz", poem::get(health))
        .nest("/admin", admin::routes())
        .data(shared)
        .boxed()
}

#[handler]
async fn get(shared: Data<&Shared>, path: Path<(String, String)>) -> poem::Result<Response> {
    admit(&shared, Access::Read).await?;
    let shared = shared.lock();
    let object = shared.store.get(&path.0.0, &path.0.1);
    let object = object.ok_or_else(|| Error::from(StatusCode::NOT_FOUND))?;
    let tag = format!("\"{}\"", object.version);
    Ok(Json(object.value.clone()).with_header(header::ETAG, tag).into_response())
}

#[handler]
async fn put(
    shared: Data<&Shared>,
    path: Path<(String, String)>,
    request: &Request,
    body: Vec<u8>,
) -> poem::Result<Response> {
    admit(&shared, Access::Write).await?;
    if body.len() > MAX_VALUE_BYTES {
        return Err(Error::from(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let value = serde_json::from_slice(&body).map_err(|_| bad_request())?;
    let condition = parse_condition(request)?;
    let version = shared.lock().store.put(&path.0.0, &path.0.1, value, condition);
    let version = version.ok_or_else(|| Error::from(StatusCode::PRECONDITION_FAILED))?;
    shared.wake();
    drop_lost_answer(&shared);
    Ok(Json(Written { version }).into_response())
}

#[handler]
async fn delete(
    shared: Data<&Shared>,
    path: Path<(String, String)>,
    request: &Request,
) -> poem::Result<Response> {
    admit(&shared, Access::Write).await?;
    let condition = parse_condition(request)?;
    {
        let mut state = shared.lock();
        if state.store.get(&path.0.0, &path.0.1).is_none() {
            return Err(Error::from(StatusCode::NOT_FOUND));
        }
        let deleted = state.store.delete(&path.0.0, &path.0.1, condition);
        deleted.ok_or_else(|| Error::from(StatusCode::PRECONDITION_FAILED))?;
    }
    shared.wake();
    drop_lost_answer(&shared);
    Ok(StatusCode::NO_CONTENT.into_response())
}

#[derive(Deserialize)]
struct ListQuery {
    watch_after: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

#[handler]
async fn list(
    shared: Data<&Shared>,
    kind: Path<String>,
    query: Query<ListQuery>,
) -> poem::Result<Response> {
    admit(&shared, Access::Read).await?;
    let Some(after) = query.watch_after else {
        return Ok(Json(shared.lock().store.list(&kind)).into_response());
    };
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WATCH_WAIT);
    let end = Instant::now() + wait;
    let mut changed = shared.changed.subscribe();
    loop {
        changed.borrow_and_update();
        check_outage(&shared)?;
        let changes = shared.lock().store.changes(&kind, after);
        if changes.expired || !changes.changes.is_empty() || Instant::now() >= end {
            return Ok(Json(changes).into_response());
        }
        // An error is the timeout, which the next iteration checks.
        let _ = tokio::time::timeout_at(end, changed.changed()).await;
    }
}

#[handler]
async fn vms(shared: Data<&Shared>) -> poem::Result<Response> {
    admit(&shared, Access::Read).await?;
    Ok(Json(shared.lock().vms.list()).into_response())
}

#[handler]
const fn health() -> StatusCode {
    StatusCode::OK
}

/// Waits for the latency of a call and rejects it during an outage or over the rate limit.
async fn admit(shared: &Shared, call: Access) -> poem::Result<()> {
    let slowness = shared.lock().faults.slowness;
    tokio::time::sleep(shared.latency + slowness).await;
    check_outage(shared)?;
    let mut state = shared.lock();
    let now = Instant::now();
    let allowed = match call {
        Access::Read => state.reads.try_acquire(now),
        Access::Write => state.writes.try_acquire(now),
    };
    if !allowed {
        state.calls.limited += 1;
        let response = StatusCode::TOO_MANY_REQUESTS;
        let response = response.with_header(header::RETRY_AFTER, RETRY_AFTER_SECONDS);
        return Err(Error::from_response(response.into_response()));
    }
    match call {
        Access::Read => state.calls.reads += 1,
        Access::Write => state.calls.writes += 1,
    }
    Ok(())
}

fn check_outage(shared: &Shared) -> poem::Result<()> {
    if shared.lock().faults.outage {
        return Err(Error::from(StatusCode::SERVICE_UNAVAILABLE));
    }
    Ok(())
}

/// Closes the connection when the response to this write is to be lost.
///
/// The panic unwinds the task of the connection before the response is sent.
fn drop_lost_answer(shared: &Shared) {
    let lost = {
        let mut state = shared.lock();
        let lost = state.faults.lost_answers > 0;
        state.faults.lost_answers -= u32::from(lost);
        lost
    };
    if lost {
        std::panic::resume_unwind(Box::new("the answer is lost"));
    }
}

fn parse_condition(request: &Request) -> poem::Result<Condition> {
    if request.header(header::IF_NONE_MATCH).is_some() {
        return Ok(Condition::Absent);
    }
    let Some(tag) = request.header(header::IF_MATCH) else {
        return Ok(Condition::None);
    };
    tag.trim_matches('"').parse().map(Condition::Version).map_err(|_| bad_request())
}

fn bad_request() -> Error {
    Error::from(StatusCode::BAD_REQUEST)
}
