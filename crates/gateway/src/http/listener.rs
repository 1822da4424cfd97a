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
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::Gateway;
use crate::http::Body;
use crate::http::reply;
use crate::http::run;
use crate::socket::set_socket_options;
use crate::stop::Phase;

/// Length of the accept queue, in connections.
const BACKLOG: u32 = 1_024;
/// Maximum number of open connections from callers.
const MAX_CONNECTIONS: usize = 3_000;
/// Minimum read buffer of a connection, in bytes; hyper accepts no smaller one.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Data that the system takes for a connection beyond what it can send at once, in bytes. The rest
/// of a slow caller's response stays in the daemon, where it is counted.
const MAX_UNSENT_BYTES: u32 = 32 * 1024;
/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from callers until the process exits.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen(gateway: Rc<Gateway>) -> io::Result<()> {
    let listener = bind(gateway.settings().listen)?;
    let open = Rc::new(());
    loop {
        let stream = match accept(&listener).await {
            Some(stream) => stream,
            None => continue,
        };
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            warn!(
                target: "connection", open = MAX_CONNECTIONS;
                "connection limit reached; closing a new connection"
            );
            continue;
        }
        let gateway = gateway.clone();
        let open = open.clone();
        tokio::task::spawn_local(async move {
            serve_connection(gateway, stream).await;
            drop(open);
        });
    }
}

/// Serves the readiness check.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_ready(gateway: Rc<Gateway>) -> io::Result<()> {
    let address = gateway.settings().ready;
    serve_endpoint(address, move |request| {
        let is_ready_path = request.uri().path() == gateway.dialect().ready_path();
        let status = match (is_ready_path, gateway.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, String::new())
    })
    .await
}

/// Serves the metrics endpoint.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_metrics(gateway: Rc<Gateway>) -> io::Result<()> {
    let address = gateway.settings().metrics;
    serve_endpoint(address, move |_| (StatusCode::OK, gateway.encode_metrics())).await
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    let accepted = listener.accept().await.and_then(|(stream, _)| {
        set_socket_options(&stream)?;
        SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)?;
        Ok(stream)
    });
    match accepted {
        Ok(stream) => Some(stream),
        Err(error) => {
            warn!(target: "connection", error:%; "failed to accept a connection");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Serves the requests of one connection. A stopping daemon closes it when its last response is
/// written, but not before its first request, which may be on its way.
async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    let limits = gateway.config().map(|c| *c.limits()).unwrap_or_default();
    let first_request = Rc::new(Notify::new());
    let service = {
        let gateway = gateway.clone();
        let first_request = first_request.clone();
        let guard = Cell::new(None);
        service_fn(move |request| {
            first_request.notify_one();
            guard.set(Some(ConnectionGuard::start(&gateway)));
            handle_request(gateway.clone(), request)
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size((limits.header.get() as usize).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(gateway.sockets().open(stream)), service);
    let closable = async {
        first_request.notified().await;
        gateway.wait_until_finishing().await;
    };
    let mut connection = std::pin::pin!(connection);
    let mut closable = std::pin::pin!(closable);
    let mut closing = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    debug!(target: "connection", error:%; "connection from a caller failed");
                }
                return;
            }
            () = closable.as_mut(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Counts a caller's open connection on which a request has arrived. Its last response may not have
/// been fully written, so a stopping daemon waits for it.
struct ConnectionGuard(Rc<Gateway>);

impl ConnectionGuard {
    fn start(gateway: &Rc<Gateway>) -> Self {
        gateway.active_connections.set(gateway.active_connections.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.active_connections.set(self.0.active_connections.get() - 1);
    }
}

async fn handle_request(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let mut response = run::serve(gateway.clone(), request).await;
    if gateway.phase() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Serves an endpoint whose responses are computed from the request alone.
async fn serve_endpoint(
    address: SocketAddr,
    respond: impl Fn(&Request<Incoming>) -> (StatusCode, String) + Clone + 'static,
) -> io::Result<()> {
    let listener = bind(address)?;
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let respond = respond.clone();
        let service = service_fn(move |request| {
            let (status, text) = respond(&request);
            let mut response = Response::new(reply::full(Bytes::from(text)));
            *response.status_mut() = status;
            std::future::ready(Ok::<_, Infallible>(response))
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                debug!(target: "connection", error:%; "connection to a status endpoint failed");
            }
        });
    }
}
