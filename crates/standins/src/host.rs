//! Runs an HTTP server on its own tokio runtime.

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
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of attempts to bind a port that is still in use.
const MAX_BIND_ATTEMPTS: u32 = 2_500;

/// Builds the endpoint for the host's current incarnation, within the runtime that serves it.
type BuildEndpoint = dyn Fn(&Arc<Host>) -> BoxEndpoint<'static> + Send + Sync;

/// A server that can be killed and restarted on the same port.
pub(crate) struct Host {
    address: SocketAddr,
    build: Box<BuildEndpoint>,
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

    /// Returns the address that the server is bound to.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL.
    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the number of the latest start, counted from 1.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// Returns whether the server is running.
    pub(crate) fn is_running(&self) -> bool {
        self.runtime.lock().expect("no thread panicked").is_some()
    }

    /// Shuts the runtime down, which drops the listener, all connections and all tasks.
    pub(crate) fn kill(&self) {
        if let Some(runtime) = self.runtime.lock().expect("no thread panicked").take() {
            runtime.shutdown_background();
        }
    }

    /// Kills the server if it is running and serves a new incarnation on the same port.
    ///
    /// # Panics
    ///
    /// Panics when another process has bound the port.
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

/// Binds `address`, retrying while a killed incarnation still closes the port.
fn bind(address: SocketAddr) -> TcpListener {
    for _ in 1..MAX_BIND_ATTEMPTS {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        std::thread::sleep(BIND_RETRY_INTERVAL);
    }
    TcpListener::bind(address).expect("the address can be bound")
}
