use std::io::Result;

use poem::http::uri::Scheme;
use poem::listener::TcpAcceptor;
use poem::web::LocalAddr;
use poem::web::RemoteAddr;
use tokio::net::TcpStream;

/// Accepts TCP connections with `TCP_NODELAY` set, so that each token is sent without waiting for
/// the acknowledgement of the previous one.
#[derive(Debug)]
pub(crate) struct Acceptor<A = TcpAcceptor> {
    inner: A,
}

impl<A> Acceptor<A> {
    /// Wraps an acceptor of TCP connections.
    pub(crate) const fn new(inner: A) -> Self {
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
