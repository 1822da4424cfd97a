//! Health and readiness.

use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;

use crate::Daemon;

/// Answers as long as the process runs.
#[handler]
pub fn healthz() -> &'static str {
    "ok\n"
}

/// Answers whether the balancer may send requests here.
#[handler]
pub fn readyz(Data(daemon): Data<&Daemon>) -> (StatusCode, &'static str) {
    if daemon.is_ready() {
        return (StatusCode::OK, "ready\n");
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}
