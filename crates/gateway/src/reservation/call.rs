use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use log::info;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::Gateway;
use crate::fleet::Server;
use crate::http::Connection;

/// Timeout of one call to a server.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Result of a call to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Call {
    /// The server responded with this status.
    Answered(StatusCode),
    /// There is no response; the server may carry the call out later.
    Unanswered,
    /// No connection could be opened, so that nothing was sent.
    NotSent,
}

/// Makes one call on a new connection.
pub(super) async fn call(
    gateway: &Gateway,
    server: &Server,
    request: impl Fn(&Gateway) -> hyper::Request<Full<Bytes>>,
) -> Call {
    let started = Instant::now();
    let opening = Connection::open(gateway.sockets(), &server.id, server.address, TIMEOUT);
    let mut connection = match opening.await {
        Ok(connection) => connection,
        Err(error) => {
            info!(target: "fleet", server:% = server.id, error:%; "reservation call was not sent");
            return Call::NotSent;
        }
    };
    gateway.count_reservation_call(&server.id);
    let sent_at = gateway.now();
    let sending = connection.send(request(gateway));
    match timeout_at(started + TIMEOUT, sending).await {
        Ok(Ok(response)) => {
            let info = gateway.dialect().response_info(response.status(), response.headers());
            gateway.apply_server_state(server, &info);
            gateway.apply_rate_limit(server, info.rate_limit, sent_at);
            Call::Answered(response.status())
        }
        Ok(Err(error)) => {
            let error = error.into_error();
            info!(target: "fleet", server:% = server.id, error:%; "reservation call failed");
            Call::Unanswered
        }
        Err(_) => {
            info!(target: "fleet", server:% = server.id; "reservation call timed out");
            Call::Unanswered
        }
    }
}
