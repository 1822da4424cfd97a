//! Routes of the engine API.

use futures::StreamExt;
use kumquattiller_base::size::Tokens;
use kumquattiller_dialect::engine::CacheEvents;
use kumquattiller_dialect::engine::Completion;
use kumquattiller_dialect::engine::Event;
use kumquattiller_dialect::engine::Handle;
use kumquattiller_dialect::engine::Holdings;
use kumquattiller_dialect::engine::Load;
use kumquattiller_dialect::engine::Order;
use kumquattiller_dialect::engine::Prefill;
use kumquattiller_dialect::engine::State;
use poem::EndpointExt;
use poem::IntoResponse;
use poem::Response;
use poem::Route;
use poem::endpoint::BoxEndpoint;
use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;
use poem::web::Json;
use poem::web::Path;
use poem::web::Query;
use poem::web::sse;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::engine::refusal::Refusal;
use crate::engine::remote;
use crate::engine::server::Shared;
use crate::engine::simulator::Reader;

/// Data of the message that ends a complete stream.
const END_OF_STREAM: &str = "[DONE]";

/// Builds the endpoint of an incarnation.
pub(super) fn endpoint(shared: Shared) -> BoxEndpoint<'static> {
    Route::new()
        .at("/v1/completions", poem::post(complete))
        .at("/v1/streams/:request", poem::get(resume).delete(cancel))
        .at("/v1/prefill", poem::post(prefill))
        .at("/v1/kv/import", poem::post(import))
        .at("/v1/kv/:handle/export", poem::post(export))
        .at("/v1/kv/:handle", poem::delete(release))
        .at("/v1/holdings", poem::get(holdings))
        .at("/v1/load", poem::get(load))
        .at("/v1/cache_events", poem::get(cache_events))
        .at("/v1/state", poem::get(state))
        .at("/v1/orders", poem::post(order))
        .at("/healthz", poem::get(health))
        .at("/admin/kill", poem::post(kill))
        .data(shared)
        .boxed()
}

#[handler]
async fn complete(shared: Data<&Shared>, body: Vec<u8>) -> Result<Response, Refusal> {
    let completion: Completion = parse(&body)?;
    remote::read_context(&shared.simulator, &completion.context).await?;
    let reader = shared.lock().start_stream(&completion)?;
    shared.work_available.notify_one();
    Ok(stream_events(reader, 0))
}

#[derive(Deserialize)]
struct StreamQuery {
    #[serde(default)]
    offset: u64,
}

#[handler]
fn resume(
    shared: Data<&Shared>,
    request: Path<String>,
    query: Query<StreamQuery>,
) -> Result<Response, Refusal> {
    let reader = shared.lock().reader(&request)?;
    Ok(stream_events(reader, query.offset))
}

#[handler]
fn cancel(shared: Data<&Shared>, request: Path<String>) -> StatusCode {
    shared.lock().cancel_stream(&request);
    shared.work_available.notify_one();
    StatusCode::NO_CONTENT
}

#[handler]
async fn prefill(shared: Data<&Shared>, body: Vec<u8>) -> Result<Json<Handle>, Refusal> {
    let prefill: Prefill = parse(&body)?;
    remote::read_context(&shared.simulator, &prefill.context).await?;
    if let Some(handle) = shared.lock().handles.get(&prefill.request) {
        return Ok(Json(handle.clone()));
    }
    let mut progress = shared.lock().start_prefill(&prefill)?;
    shared.work_available.notify_one();
    // An error means that the prefill was cancelled; its handle is then missing.
    let _ = progress.wait_for(|progress| progress.finished).await;
    let handle = shared.lock().handles.get(&prefill.request).cloned();
    handle.map(Json).ok_or(Refusal::UnknownHandle)
}

#[handler]
fn export(shared: Data<&Shared>, handle: Path<String>) -> Result<Json<Handle>, Refusal> {
    let simulator = shared.lock();
    simulator.handles.get(&handle.0).cloned().map(Json).ok_or(Refusal::UnknownHandle)
}

#[handler]
async fn import(shared: Data<&Shared>, body: Vec<u8>) -> Result<Json<Handle>, Refusal> {
    let handle: Handle = parse(&body)?;
    remote::read_context(&shared.simulator, std::slice::from_ref(&handle)).await?;
    let timing = shared.lock().settings.timing;
    tokio::time::sleep(timing.transfer_time(Tokens::new(handle.tokens))).await;
    shared.lock().import_kv(handle.tokens).map(Json)
}

#[handler]
fn release(shared: Data<&Shared>, handle: Path<String>) -> StatusCode {
    shared.lock().handles.remove(&handle.0);
    shared.work_available.notify_one();
    StatusCode::NO_CONTENT
}

#[handler]
fn holdings(shared: Data<&Shared>) -> Json<Holdings> {
    Json(shared.lock().holdings())
}

#[handler]
fn load(shared: Data<&Shared>) -> Json<Load> {
    Json(shared.lock().reported_load())
}

#[derive(Deserialize)]
struct CacheEventsQuery {
    #[serde(default)]
    after: u64,
}

#[handler]
fn cache_events(shared: Data<&Shared>, query: Query<CacheEventsQuery>) -> Json<CacheEvents> {
    let simulator = shared.lock();
    let until = Instant::now().checked_sub(simulator.settings.cache_event_delay);
    let events = until.map(|until| simulator.cache.events(query.after, until));
    Json(CacheEvents { events: events.unwrap_or_default() })
}

#[handler]
fn state(shared: Data<&Shared>) -> Json<State> {
    Json(shared.lock().state.clone())
}

#[handler]
async fn order(shared: Data<&Shared>, body: Vec<u8>) -> Result<Json<State>, Refusal> {
    let order: Order = parse(&body)?;
    let load_time = {
        let mut simulator = shared.lock();
        simulator.check_fencing(&order)?;
        let needs_load = simulator.needs_load(&order.command);
        simulator.loads += u64::from(needs_load);
        needs_load.then(|| simulator.settings.timing.scaled_load_time())
    };
    if let Some(time) = load_time {
        tokio::time::sleep(time).await;
    }
    let mut simulator = shared.lock();
    simulator.check_fencing(&order)?;
    simulator.apply(order.command);
    Ok(Json(simulator.state.clone()))
}

#[handler]
const fn health() -> StatusCode {
    StatusCode::OK
}

#[handler]
fn kill(shared: Data<&Shared>) -> StatusCode {
    shared.spawn_crash();
    StatusCode::NO_CONTENT
}

/// Parses a JSON body.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|_| Refusal::Malformed)
}

/// Returns the server-sent events of a stream from `offset`; a cancelled stream ends without
/// `[DONE]`.
fn stream_events(reader: Reader, offset: u64) -> Response {
    let stream =
        futures::stream::unfold((reader, offset, false), |(mut reader, offset, done)| async move {
            if done {
                return None;
            }
            let ready = reader.progress.wait_for(|p| p.generated > offset || p.finished).await;
            let progress = *ready.ok()?;
            let event = Event {
                offset,
                tokens: progress.generated.saturating_sub(offset),
                text: reader.text.range(offset, progress.generated),
                finish_reason: progress.finished.then(|| "length".to_owned()),
            };
            let text = serde_json::to_string(&event).ok()?;
            let mut messages = vec![sse::Event::message(text)];
            if progress.finished {
                messages.push(sse::Event::message(END_OF_STREAM));
            }
            let next = progress.generated.max(offset);
            Some((futures::stream::iter(messages), (reader, next, progress.finished)))
        });
    sse::SSE::new(stream.flatten()).into_response()
}
