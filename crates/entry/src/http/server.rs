use std::net::SocketAddr;
use std::time::Duration;

use kumquattiller_base::error;
use poem::Endpoint;
use poem::EndpointExt;
use poem::IntoResponse;
use poem::Response;
use poem::Route;
use poem::get;
use poem::handler;
use poem::listener::Acceptor;
use poem::listener::Listener;
use poem::listener::TcpListener;
use poem::post;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::Daemon;
use crate::http;
use crate::http::Error;
use crate::http::health;
use crate::http::metrics;
use crate::http::models;
use crate::http::plain;

/// Longest wait at shutdown for responses to reach their callers.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// The HTTP server of an entry daemon.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    shutdown: CancellationToken,
    task: JoinHandle<()>,
}

impl Server {
    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and waits for responses in flight.
    pub async fn stop(self) {
        self.shutdown.cancel();
        let _ = self.task.await;
    }
}

/// Starts the HTTP server of a daemon.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start(daemon: Daemon) -> std::io::Result<Server> {
    let acceptor = TcpListener::bind(daemon.settings().http_address).into_acceptor().await?;
    let local = acceptor.local_addr().into_iter().find_map(|a| a.as_socket_addr().copied());
    let address = local.unwrap_or(daemon.settings().http_address);
    let shutdown = CancellationToken::new();
    let signal = shutdown.clone();
    let task = tokio::spawn(async move {
        let server = poem::Server::new_with_acceptor(http::Acceptor::new(acceptor));
        let signal = async move { signal.cancelled().await };
        let run = server.run_with_graceful_shutdown(routes(daemon), signal, Some(DELIVERY_TIMEOUT));
        if let Err(error) = run.await {
            log::error!("HTTP server failed: {error}");
        }
    });
    Ok(Server { address, shutdown, task })
}

/// Returns the endpoints of the server.
fn routes(daemon: Daemon) -> impl Endpoint {
    Route::new()
        .at("/v1/completions", post(models::completions))
        .at("/v1/chat/completions", post(models::chat))
        .at("/services/:service/*path", plain::call)
        .at("/healthz", get(health::healthz))
        .at("/readyz", get(health::readyz))
        .at("/metrics", get(metrics::metrics))
        .at("/*path", not_found)
        .data(daemon)
}

/// Responds to unknown paths.
#[handler]
fn not_found() -> Response {
    Error::not_admitted(error::Kind::NotFound).into_response()
}
