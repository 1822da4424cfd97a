//! A TCP relay that can cut and refuse connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Stands between two processes.
#[derive(Debug, Clone)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    closed: AtomicBool,
    cut: Notify,
}

impl Relay {
    /// Listens on `address` and passes connections on to `target`.
    ///
    /// # Panics
    ///
    /// Panics when the address cannot be listened on.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("relay can listen");
        let address = listener.local_addr().expect("a bound listener has an address");
        let closed = AtomicBool::new(false);
        let shared = Arc::new(Shared { target, closed, cut: Notify::new() });
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        Self { address, shared }
    }

    /// Returns the address that is listened on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts every connection; new ones are passed on.
    pub fn cut(&self) {
        self.shared.cut.notify_waiters();
    }

    /// Cuts every connection and refuses new ones until [`Self::open`].
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        self.cut();
    }

    /// Passes new connections on again.
    pub fn open(&self) {
        self.shared.closed.store(false, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        if !shared.closed.load(Ordering::SeqCst) {
            tokio::spawn(pass(stream, Arc::clone(&shared)));
        }
    }
}

async fn pass(mut near: TcpStream, shared: Arc<Shared>) {
    let cut = shared.cut.notified();
    tokio::pin!(cut);
    cut.as_mut().enable();
    let Ok(mut far) = TcpStream::connect(shared.target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        () = cut => {}
    }
}
