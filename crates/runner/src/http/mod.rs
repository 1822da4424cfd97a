//! HTTP server for health checks and metrics.

use poem::EndpointExt;
use poem::Route;
use poem::Server;
use poem::get;
use poem::handler;
use poem::http::StatusCode;
use poem::listener::TcpListener;
use poem::web::Data;
use tokio::task::JoinHandle;

use crate::Process;

/// Starts the HTTP server.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start(process: Process) -> std::io::Result<JoinHandle<()>> {
    let address = process.settings().http_address;
    let acceptor = poem::listener::Listener::into_acceptor(TcpListener::bind(address)).await?;
    let routes = Route::new()
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/metrics", get(metrics))
        .data(process);
    Ok(tokio::spawn(async move {
        if let Err(error) = Server::new_with_acceptor(acceptor).run(routes).await {
            log::error!("HTTP server ended: {error}");
        }
    }))
}

/// Answers `ok` as long as the process runs.
#[handler]
fn healthz() -> &'static str {
    "ok\n"
}

/// Answers 200 while the process accepts new work, 503 once it drains.
#[handler]
fn readyz(Data(process): Data<&Process>) -> (StatusCode, &'static str) {
    if process.is_draining() {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    (StatusCode::OK, "ready\n")
}

/// Answers with the metrics in the OpenMetrics text format.
#[handler]
fn metrics(Data(process): Data<&Process>) -> String {
    process.recorder().metrics().set_config_version(process.config_version());
    process.recorder().metrics().encode()
}
