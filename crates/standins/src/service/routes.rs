//! Routes of a plain service.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;

use poem::EndpointExt;
use poem::IntoResponse;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::endpoint::BoxEndpoint;
use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;
use poem::web::Json;
use poem::web::Query;
use serde::Deserialize;
use serde_json::json;

use crate::host::Host;
use crate::service::Call;
use crate::service::state::State;

/// State shared by the routes.
#[derive(Clone)]
pub(super) struct Shared {
    state: Arc<Mutex<State>>,
    crash_marker: Option<String>,
    host: Weak<Host>,
}

impl Shared {
    pub(super) fn new(
        state: Arc<Mutex<State>>,
        crash_marker: Option<String>,
        host: &Arc<Host>,
    ) -> Self {
        Self { state, crash_marker, host: Arc::downgrade(host) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked")
    }

    fn kill_host(&self) {
        let host = self.host.clone();
        std::thread::spawn(move || host.upgrade().map(|host| host.kill()));
    }
}

/// Builds the endpoint.
pub(super) fn endpoint(shared: Shared) -> BoxEndpoint<'static> {
    Route::new()
        .at("/healthz", poem::get(health))
        .at("/admin/executions", poem::get(executions))
        .at("/admin/delay", poem::post(set_delay))
        .at("/admin/kill", poem::post(kill))
        .at("/*path", poem::get(read).post(execute).put(execute).delete(execute))
        .data(shared)
        .boxed()
}

#[handler]
const fn health() -> StatusCode {
    StatusCode::OK
}

#[handler]
async fn read(shared: Data<&Shared>, request: &Request) -> Response {
    let delay = shared.lock().delay;
    tokio::time::sleep(delay).await;
    shared.lock().reads += 1;
    Json(json!({ "path": request.uri().path() })).into_response()
}

#[handler]
async fn execute(shared: Data<&Shared>, request: &Request, body: Vec<u8>) -> Response {
    let body = String::from_utf8_lossy(&body).into_owned();
    let must_crash = shared.crash_marker.as_deref().is_some_and(|marker| body.contains(marker));
    let call = Call {
        method: request.method().to_string(),
        path: request.uri().path().to_owned(),
        key: request.header("Idempotency-Key").unwrap_or_default().to_owned(),
        body,
    };
    let execution = shared.lock().record_execution(call);
    if must_crash {
        shared.kill_host();
        std::future::pending::<()>().await;
    }
    let delay = shared.lock().delay;
    tokio::time::sleep(delay).await;
    Json(json!({ "path": request.uri().path(), "execution": execution })).into_response()
}

#[handler]
fn executions(shared: Data<&Shared>) -> Response {
    let counts: Vec<_> = shared.lock().executions.clone().into_iter().collect();
    Json(counts).into_response()
}

#[derive(Deserialize)]
struct DelayQuery {
    ms: u64,
}

#[handler]
fn set_delay(shared: Data<&Shared>, delay: Query<DelayQuery>) -> StatusCode {
    shared.lock().delay = Duration::from_millis(delay.ms);
    StatusCode::NO_CONTENT
}

#[handler]
fn kill(shared: Data<&Shared>) -> StatusCode {
    shared.kill_host();
    StatusCode::NO_CONTENT
}
