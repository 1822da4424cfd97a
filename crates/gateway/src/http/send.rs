use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use kumquattiller_base::time::Moment;

use crate::Gateway;
use crate::config::Retry;
use crate::dialect;
use crate::dialect::Helper;
use crate::fleet::Exclusion;
use crate::fleet::Server;
use crate::http::Connection;
use crate::http::Position;
use crate::http::Request;

/// Time limit for opening a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum idle time of a connection that is reused for a request that may not be retried: the
/// server may close an idle connection just as the request is sent.
const MAX_IDLE_WITHOUT_RETRY: Duration = Duration::from_millis(300);

/// A server's response whose head has been received and whose body is still to be read.
#[derive(Debug)]
pub struct Received {
    /// The connection, which is returned to the pool once the body is read.
    pub connection: Connection,
    /// Status and headers.
    pub head: Parts,
    /// Response metadata parsed from the head.
    pub info: dialect::ResponseInfo,
    /// The response body.
    pub body: Incoming,
    /// Place of the response on the connection.
    pub position: Position,
}

/// The result of sending a request to a server.
#[derive(Debug)]
pub enum Exchange {
    /// The head of a response was received.
    Received(Box<Received>),
    /// Nothing was sent.
    NotSent(io::Error),
    /// Nothing was sent, since the server was excluded after the request was placed.
    Withheld(Exclusion),
    /// The connection was lost after part of the request was sent.
    ConnectionLost(hyper::Error),
}

/// Sends a request to a server and waits for the head of the response.
///
/// An excluded server gets nothing, also if it was excluded after the request was placed or while
/// the connection was opened, and no request goes out with a helper that has been evacuated since.
///
/// If a pooled connection was closed before anything was sent, the request is sent on a new one.
/// The wait has no timeout of its own. Dropping the returned future closes the connection.
pub async fn send(
    gateway: &Rc<Gateway>,
    request: &Request,
    server: &Server,
    helpers: &[Helper],
    resume_after: Option<&[u8]>,
) -> Exchange {
    gateway.wait_until_evacuations_confirmed().await;
    if let Some(exclusion) = gateway.withheld_from(request, server, helpers) {
        return Exchange::Withheld(exclusion);
    }
    let max_idle = match request.route.retry {
        Retry::Never => MAX_IDLE_WITHOUT_RETRY,
        Retry::Whole | Retry::Rest => Duration::MAX,
    };
    if let Some(pooled) = gateway.pool().take(&server.id, gateway.now(), max_idle) {
        let outgoing = build_request(gateway, request, server, helpers, resume_after);
        let result = exchange(gateway, request, server, pooled, outgoing, Position::Later).await;
        if let Some(result) = result {
            return result;
        }
    }
    let limit = CONNECT_TIMEOUT.min(request.time_left(gateway.now()));
    let connection =
        match Connection::open(gateway.sockets(), &server.id, server.address, limit).await {
            Ok(connection) => connection,
            Err(error) => return Exchange::NotSent(error),
        };
    gateway.metrics().connection_opened();
    gateway.wait_until_evacuations_confirmed().await;
    if let Some(exclusion) = gateway.withheld_from(request, server, helpers) {
        return Exchange::Withheld(exclusion);
    }
    let outgoing = build_request(gateway, request, server, helpers, resume_after);
    let not_sent = || Exchange::NotSent(io::ErrorKind::NotConnected.into());
    let result = exchange(gateway, request, server, connection, outgoing, Position::First).await;
    result.unwrap_or_else(not_sent)
}

/// Sends a request on a connection; returns `None` if the connection closed before anything was
/// sent.
async fn exchange(
    gateway: &Gateway,
    request: &Request,
    server: &Server,
    mut connection: Connection,
    outgoing: hyper::Request<Full<Bytes>>,
    position: Position,
) -> Option<Exchange> {
    let sent_at = gateway.now();
    match connection.send(outgoing).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            let info = gateway.dialect().response_info(head.status, &head.headers);
            gateway.apply_server_state(server, &info);
            if info.rate_limit.is_some() || info.id.as_ref() == Some(&request.metadata.id) {
                gateway.apply_rate_limit(server, info.rate_limit, sent_at);
            }
            Some(Exchange::Received(Box::new(Received { connection, head, info, body, position })))
        }
        Err(mut error) => {
            if error.take_message().is_none() {
                return Some(Exchange::ConnectionLost(error.into_error()));
            }
            log::debug!(
                target: "connection", error:% = error.error();
                "connection closed before the request was sent"
            );
            None
        }
    }
}

/// Returns the request to send to `server`. `resume_after` is the id of the last event that the
/// caller received, if a stream is resumed.
fn build_request(
    gateway: &Gateway,
    request: &Request,
    server: &Server,
    helpers: &[Helper],
    resume_after: Option<&[u8]>,
) -> hyper::Request<Full<Bytes>> {
    let forward = dialect::Forward {
        server: &server.id,
        time_left: request.time_left(gateway.now()),
        account: request.account.as_ref(),
        helpers,
        urgency: gateway.urgency(request),
        resume_after,
    };
    let mut outgoing = hyper::Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = gateway.dialect().request_headers(&request.headers, &forward);
    outgoing
}

/// Returns a connection to the pool after its response has been read in full.
pub fn return_to_pool(
    gateway: &Gateway,
    connection: Connection,
    info: &dialect::ResponseInfo,
    now: Moment,
) {
    gateway.pool().put(connection, info.keep_alive, now);
}
