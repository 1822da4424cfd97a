//! Runs a server on a runtime of its own.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use poem::endpoint::BoxEndpoint;
use poem::listener::TcpAcceptor;
use tokio::runtime::Runtime;

use crate::acceptor::Acceptor;

/// Pause between attempts to bind a port that is still in use.
const BIND_RETRY: Duration = Duration::from_millis(2);
/// Attempts to bind a port that is still in use.
const MAX_BIND_ATTEMPTS: u32 = 2_500;

/// Builds the endpoint of the host's present incarnation, inside the runtime that will serve it.
type Build = dyn Fn(&Arc<Host>) -> BoxEndpoint<'static> + Send + Sync;

/// A server that can be killed and restarted on its port.
pub(crate) struct Host {
    address: SocketAddr,
    build: Box<Build>,
    incarnation: AtomicU64,
    runtime: Mutex<Option<Runtime>>,
}

impl Host {
    /// Binds `address` and serves the first incarnation.
    ///
    /// # Panics
    ///
    /// Panics when the address cannot be bound.
    pub(crate) fn start(
        address: SocketAddr,
        build: impl Fn(&Arc<Self>) -> BoxEndpoint<'static> + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = bind(address);
        let address = listener.local_addr().expect("a bound listener has an address");
        let host = Arc::new(Self {
            address,
            build: Box::new(build),
            incarnation: AtomicU64::new(0),
            runtime: Mutex::new(None),
        });
        host.serve(listener);
        host
    }

    /// Returns the address that is served.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL.
    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the number of the last start, from 1.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// Tells whether the server runs.
    pub(crate) fn is_running(&self) -> bool {
        self.runtime.lock().expect("no thread panicked").is_some()
    }

    /// Drops the listener, every connection and every task.
    pub(crate) fn kill(&self) {
        if let Some(runtime) = self.runtime.lock().expect("no thread panicked").take() {
            runtime.shutdown_background();
        }
    }

    /// Serves a new incarnation on the same port, after a kill when it still runs.
    ///
    /// # Panics
    ///
    /// Panics when the port was taken by another process.
    pub(crate) fn restart(self: &Arc<Self>) {
        self.kill();
        self.serve(bind(self.address));
    }

    /// Serves the next incarnation on `listener`.
    fn serve(self: &Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket can be non-blocking");
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("the system can start a thread");
        {
            let _context = runtime.enter();
            let endpoint = (self.build)(self);
            let acceptor = TcpAcceptor::from_std(listener).expect("the listener is valid");
            runtime.spawn(poem::Server::new_with_acceptor(Acceptor::new(acceptor)).run(endpoint));
        }
        *self.runtime.lock().expect("no thread panicked") = Some(runtime);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Binds `address`, waiting for a port that a killed incarnation is still closing.
fn bind(address: SocketAddr) -> TcpListener {
    for _ in 1..MAX_BIND_ATTEMPTS {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        std::thread::sleep(BIND_RETRY);
    }
    TcpListener::bind(address).expect("the address can be bound")
}
