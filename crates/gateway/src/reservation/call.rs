use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use log::info;
use tokio::time::timeout;

use crate::Gateway;
use crate::fleet::Server;
use crate::http::Connection;

/// Timeout of one call to a server.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Makes one call on a new connection; returns the status, or `None` if there is no response.
pub(super) async fn call(
    gateway: &Gateway,
    server: &Server,
    request: impl Fn(&Gateway) -> hyper::Request<Full<Bytes>>,
) -> Option<StatusCode> {
    let exchange = async {
        let mut connection =
            Connection::open(gateway.sockets(), &server.id, server.address, TIMEOUT).await?;
        gateway.count_reservation_call(&server.id);
        let sent_at = gateway.now();
        let sent = connection.send(request(gateway)).await;
        let response = sent.map_err(|error| io::Error::other(error.into_error()))?;
        let info = gateway.dialect().response_info(response.status(), response.headers());
        gateway.apply_server_state(server, &info);
        gateway.apply_rate_limit(server, info.rate_limit, sent_at);
        Ok::<_, io::Error>(response.status())
    };
    match timeout(TIMEOUT, exchange).await {
        Ok(Ok(status)) => Some(status),
        Ok(Err(error)) => {
            info!(target: "fleet", server:% = server.id, error:%; "reservation call failed");
            None
        }
        Err(_) => {
            info!(target: "fleet", server:% = server.id; "reservation call timed out");
            None
        }
    }
}
