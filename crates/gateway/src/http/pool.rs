use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use tokio::task::JoinHandle;

use crate::http::head_limit;
use crate::socket;
use crate::socket::dial;

/// Maximum time for which an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// Fraction of the keep-alive timeout stated by a server after which an idle connection is closed.
const KEEP_ALIVE_FRACTION: f64 = 0.6;
/// Maximum read buffer of a connection, in bytes. The head of a response fits into it.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of idle connections to one server.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// An HTTP/1.1 connection to a server. Dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    /// The server to which it is open.
    pub server: runner::Id,
    sender: http1::SendRequest<Full<Bytes>>,
    head_allowance: head_limit::Allowance,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened within `limit`.
    pub async fn open(
        sockets: &socket::Table,
        server: &runner::Id,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<Self> {
        let stream = sockets.open(dial(address, limit).await?);
        let head_allowance = head_limit::Allowance::default();
        let stream = head_limit::Limited::new(stream, head_allowance.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let id = server.clone();
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(
                    target: "connection", server:% = id, error:%;
                    "connection to a server failed"
                );
            }
        });
        Ok(Self { server: server.clone(), sender, head_allowance, task })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection does, or if too much arrives before the head. The error holds the
    /// request if nothing of it was sent.
    pub async fn send(
        &mut self,
        request: hyper::Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, TrySendError<hyper::Request<Full<Bytes>>>> {
        self.head_allowance.await_head();
        let response = self.sender.try_send_request(request).await;
        self.head_allowance.end();
        response
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Moment,
    expires_at: Moment,
}

/// Pool of idle connections to servers.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<runner::Id, Vec<Idle>>>,
}

impl Pool {
    /// Takes the most recently used connection to a server that is open and has been idle for at
    /// most `max_idle`.
    pub fn take(&self, server: &runner::Id, now: Moment, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        while let Some(pooled) = connections.pop() {
            let usable = pooled.connection.sender.is_ready() && now < pooled.expires_at;
            if usable && now.since(pooled.idle_since) <= max_idle {
                return Some(pooled.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool; `keep_alive` is the timeout for idle connections that its
    /// server states.
    pub fn put(&self, connection: Connection, keep_alive: Option<Duration>, now: Moment) {
        let lifetime =
            keep_alive.map_or(MAX_IDLE_TIME, |s| s.mul_f64(KEEP_ALIVE_FRACTION)).min(MAX_IDLE_TIME);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.server.clone()).or_default();
        if connections.len() >= MAX_IDLE_CONNECTIONS {
            connections.remove(0);
        }
        connections.push(Idle { connection, idle_since: now, expires_at: now + lifetime });
    }

    /// Closes connections that have been idle for too long and all connections to unknown servers.
    pub fn expire(&self, now: Moment, known: impl Fn(&runner::Id) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|id, connections| {
            connections.retain(|i| now < i.expires_at && !i.connection.sender.is_closed());
            known(id) && !connections.is_empty()
        });
    }

    /// Closes all idle connections to a server.
    pub fn close_server(&self, server: &runner::Id) {
        self.idle.borrow_mut().remove(server);
    }
}
