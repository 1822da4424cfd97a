use std::io::Result;

use poem::http::uri::Scheme;
use poem::listener::TcpAcceptor;
use poem::web::LocalAddr;
use poem::web::RemoteAddr;
use tokio::net::TcpStream;

/// Accepts TCP connections and sets `TCP_NODELAY` on them, so that a token is not held back until
/// the packet before it is acknowledged.
#[derive(Debug)]
pub struct Acceptor<A = TcpAcceptor> {
    inner: A,
}

impl<A> Acceptor<A> {
    /// Wraps another acceptor of TCP connections.
    pub const fn new(inner: A) -> Self {
        Self { inner }
    }
}

impl<A: poem::listener::Acceptor<Io = TcpStream>> poem::listener::Acceptor for Acceptor<A> {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.inner.accept().await?;
        accepted.0.set_nodelay(true)?;
        Ok(accepted)
    }
}
