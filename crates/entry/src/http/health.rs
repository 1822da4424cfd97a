//! Health and readiness endpoints.

use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;

use crate::Daemon;

/// Responds as long as the process runs.
#[handler]
pub fn healthz() -> &'static str {
    "ok\n"
}

/// Responds with whether the balancer may send requests to this daemon.
#[handler]
pub fn readyz(Data(daemon): Data<&Daemon>) -> (StatusCode, &'static str) {
    if daemon.is_ready() {
        return (StatusCode::OK, "ready\n");
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}
