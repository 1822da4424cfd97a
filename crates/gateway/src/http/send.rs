use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use kumquattiller_base::time::Moment;

use crate::Gateway;
use crate::config::Repeat;
use crate::dialect;
use crate::dialect::Helper;
use crate::fleet::Server;
use crate::http::Connection;
use crate::http::Job;

/// Longest time to open a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that a connection may have been idle for a request that cannot be sent again: a
/// server may close an idle connection just when a request is sent on it.
const FRESH_IDLE: Duration = Duration::from_millis(300);

/// The head of a server's answer, with its body still to come.
#[derive(Debug)]
pub struct Answered {
    /// The connection, to be kept once the body is read.
    pub connection: Connection,
    /// Status and headers.
    pub head: Parts,
    /// What the headers say.
    pub answer: dialect::Answer,
    /// The rest.
    pub body: Incoming,
}

/// How one send ended.
#[derive(Debug)]
pub enum Sent {
    /// The head of an answer came.
    Answered(Box<Answered>),
    /// Nothing was sent.
    Unsent(io::Error),
    /// The connection broke after something was sent.
    Lost(hyper::Error),
}

/// Sends a request to a server and waits for the head of the answer.
///
/// The caller of this function bounds the wait; when it stops waiting, the connection closes.
pub async fn send(
    gateway: &Rc<Gateway>,
    job: &Job,
    server: &Server,
    helpers: &[Helper],
    resume_after: Option<&[u8]>,
) -> Sent {
    let longest = match job.route.repeat {
        Repeat::Never => FRESH_IDLE,
        Repeat::Whole | Repeat::Rest => Duration::MAX,
    };
    if let Some(kept) = gateway.pool().take(&server.id, gateway.now(), longest) {
        let request = request(gateway, job, server, helpers, resume_after);
        if let Some(sent) = exchange(gateway, kept, request).await {
            return sent;
        }
    }
    let limit = CONNECT_TIMEOUT.min(job.left(gateway.now()));
    let connection = match Connection::open(&server.id, server.address, limit).await {
        Ok(connection) => connection,
        Err(error) => return Sent::Unsent(error),
    };
    gateway.metrics().connection_opened();
    let request = request(gateway, job, server, helpers, resume_after);
    let unsent = || Sent::Unsent(io::ErrorKind::NotConnected.into());
    exchange(gateway, connection, request).await.unwrap_or_else(unsent)
}

/// Sends on a connection; returns none when the connection closed before anything was sent.
async fn exchange(
    gateway: &Gateway,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Option<Sent> {
    match connection.sender.try_send_request(request).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            let answer = gateway.dialect().answer(head.status, &head.headers);
            Some(Sent::Answered(Box::new(Answered { connection, head, answer, body })))
        }
        Err(mut error) => {
            if error.take_message().is_none() {
                return Some(Sent::Lost(error.into_error()));
            }
            log::debug!(target: "connection", error:% = error.error(); "closed before a send");
            None
        }
    }
}

fn request(
    gateway: &Gateway,
    job: &Job,
    server: &Server,
    helpers: &[Helper],
    resume_after: Option<&[u8]>,
) -> Request<Full<Bytes>> {
    let send = dialect::Forward {
        server: &server.id,
        left: job.left(gateway.now()),
        account: job.account.as_ref(),
        helpers,
        urgency: gateway.urgency(job),
        resume_after,
    };
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = gateway.dialect().headers(&job.headers, &send);
    request
}

/// Puts the connection of an answer back that was read to its end.
pub fn keep(gateway: &Gateway, connection: Connection, answer: &dialect::Answer, now: Moment) {
    gateway.pool().put(connection, answer.keep_alive, now);
}
