use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use tokio::task::JoinHandle;

use crate::http::dial;

/// Longest time that an idle connection is kept.
const LONGEST_IDLE: Duration = Duration::from_millis(2_500);
/// Part of the time that a server states for idle connections that is used.
const KEEP_ALIVE_PART: f64 = 0.6;
/// Most idle connections to one server.
const MAX_IDLE: usize = 8;

/// A connection to a server, closed when it is dropped.
#[derive(Debug)]
pub struct Connection {
    /// The server.
    pub server: runner::Id,
    /// Takes one request at a time.
    pub sender: http1::SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when no connection opens within `limit`.
    pub async fn open(
        server: &runner::Id,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<Self> {
        let stream = dial(address, limit).await?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let id = server.clone();
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "connection", server:% = id, error:%; "a connection ended");
            }
        });
        Ok(Self { server: server.clone(), sender, task })
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
    since: Moment,
    until: Moment,
}

/// Idle connections to servers.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<runner::Id, Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection to a server that was used last, if one is open and has been idle for
    /// at most `longest`.
    pub fn take(&self, server: &runner::Id, now: Moment, longest: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(server)?;
        while let Some(last) = list.pop() {
            let usable = last.connection.sender.is_ready() && now < last.until;
            if usable && now.since(last.since) <= longest {
                return Some(last.connection);
            }
        }
        None
    }

    /// Puts a connection back; `stated` is how long its server keeps it open.
    pub fn put(&self, connection: Connection, stated: Option<Duration>, now: Moment) {
        let span = stated.map_or(LONGEST_IDLE, |s| s.mul_f64(KEEP_ALIVE_PART)).min(LONGEST_IDLE);
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.server.clone()).or_default();
        if list.len() >= MAX_IDLE {
            list.remove(0);
        }
        list.push(Idle { connection, since: now, until: now + span });
    }

    /// Closes the connections that have been idle for too long, and all to unknown servers.
    pub fn expire(&self, now: Moment, known: impl Fn(&runner::Id) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|id, list| {
            list.retain(|i| now < i.until && !i.connection.sender.is_closed());
            known(id) && !list.is_empty()
        });
    }

    /// Closes all idle connections to a server.
    pub fn drop_server(&self, server: &runner::Id) {
        self.idle.borrow_mut().remove(server);
    }
}
