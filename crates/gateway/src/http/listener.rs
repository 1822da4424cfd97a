use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::Gateway;
use crate::http::Body;
use crate::http::reply;
use crate::http::run;
use crate::http::tune;
use crate::stop::Phase;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Most open connections of callers.
const MAX_CONNECTIONS: usize = 3_000;
/// Smallest read buffer of a connection, in bytes; hyper takes no smaller one.
const LEAST_BUFFER: usize = 8_192;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the daemon takes no more.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn listen(gateway: Rc<Gateway>) -> io::Result<()> {
    let listener = bind(gateway.settings().listen)?;
    let open = Rc::new(());
    loop {
        let stream = match accept(&listener).await {
            Some(stream) => stream,
            None => continue,
        };
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            warn!(target: "connection", open = MAX_CONNECTIONS; "too many connections, one closed");
            continue;
        }
        let gateway = gateway.clone();
        let open = open.clone();
        tokio::task::spawn_local(async move {
            converse(gateway, stream).await;
            drop(open);
        });
    }
}

/// Answers whether the daemon is ready.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_ready(gateway: Rc<Gateway>) -> io::Result<()> {
    let address = gateway.settings().ready;
    serve_simple(address, move |request| {
        let asked = request.uri().path() == gateway.dialect().ready_path();
        let status = match (asked, gateway.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, String::new())
    })
    .await
}

/// Serves the metrics.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_metrics(gateway: Rc<Gateway>) -> io::Result<()> {
    let address = gateway.settings().metrics;
    serve_simple(address, move |_| (StatusCode::OK, gateway.encode_metrics())).await
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    let accepted = listener.accept().await.and_then(|(stream, _)| {
        tune(&stream)?;
        Ok(stream)
    });
    match accepted {
        Ok(stream) => Some(stream),
        Err(error) => {
            warn!(target: "connection", error:%; "a connection could not be accepted");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Serves the requests of one connection.
async fn converse(gateway: Rc<Gateway>, stream: TcpStream) {
    let limits = gateway.config().map(|c| *c.limits()).unwrap_or_default();
    let service = {
        let gateway = gateway.clone();
        let asked = Cell::new(None);
        service_fn(move |request| {
            asked.set(Some(Answering::start(&gateway)));
            answer(gateway.clone(), request)
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size((limits.header.get() as usize).max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    debug!(target: "connection", error:%; "a caller's connection ended");
                }
                return;
            }
            () = gateway.wait_finishing(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// A connection that has carried a request and is open: its last answer may not be out yet.
struct Answering(Rc<Gateway>);

impl Answering {
    fn start(gateway: &Rc<Gateway>) -> Self {
        gateway.answering.set(gateway.answering.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.answering.set(self.0.answering.get() - 1);
    }
}

async fn answer(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let mut response = run::serve(gateway.clone(), request).await;
    if gateway.phase() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Serves short answers that need no state of a connection.
async fn serve_simple(
    address: SocketAddr,
    answer: impl Fn(&Request<Incoming>) -> (StatusCode, String) + Clone + 'static,
) -> io::Result<()> {
    let listener = bind(address)?;
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let (status, text) = answer(&request);
            let mut response = Response::new(reply::whole(Bytes::from(text)));
            *response.status_mut() = status;
            std::future::ready(Ok::<_, Infallible>(response))
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                debug!(target: "connection", error:%; "a check's connection ended");
            }
        });
    }
}
