//! A TCP relay that can close, refuse, delay and silence connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::sync::watch;

/// Maximum number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// How bytes are forwarded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Mode {
    /// Whether to hold back bytes from the connecting side to the target.
    pub silent_out: bool,
    /// Whether to hold back bytes from the target to the connecting side.
    pub silent_back: bool,
    /// Delay before each chunk of bytes is forwarded.
    pub delay: Duration,
}

/// Forwards TCP connections from one address to another.
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
    mode: watch::Sender<Mode>,
}

impl Relay {
    /// Listens on `address` and forwards connections to `target`.
    ///
    /// # Panics
    ///
    /// Panics when the address cannot be bound.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("relay can listen");
        let address = listener.local_addr().expect("a bound listener has an address");
        let closed = AtomicBool::new(false);
        let shared =
            Arc::new(Shared { target, closed, cut: Notify::new(), mode: watch::Sender::default() });
        tokio::spawn(accept_connections(listener, Arc::clone(&shared)));
        Self { address, shared }
    }

    /// Returns the address that the relay listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections; new ones are still forwarded.
    pub fn cut(&self) {
        self.shared.cut.notify_waiters();
    }

    /// Closes all connections, and new ones as soon as they are accepted, until [`Self::open`].
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        self.cut();
    }

    /// Changes how bytes are forwarded, including on open connections.
    pub fn set(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
    }

    /// Forwards new connections again after [`Self::close`].
    pub fn open(&self) {
        self.shared.closed.store(false, Ordering::SeqCst);
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        if !shared.closed.load(Ordering::SeqCst) {
            tokio::spawn(forward_connection(stream, Arc::clone(&shared)));
        }
    }
}

async fn forward_connection(client: TcpStream, shared: Arc<Shared>) {
    let cut = shared.cut.notified();
    tokio::pin!(cut);
    cut.as_mut().enable();
    let Ok(target) = TcpStream::connect(shared.target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let outbound =
        forward_bytes(client_read, target_write, shared.mode.subscribe(), |mode| mode.silent_out);
    let inbound =
        forward_bytes(target_read, client_write, shared.mode.subscribe(), |mode| mode.silent_back);
    tokio::select! {
        _ = async { tokio::join!(outbound, inbound) } => {}
        () = cut => {}
    }
}

/// Forwards bytes in one direction until the connection ends; holds them back while the direction
/// is silent.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    is_silent: impl Fn(&Mode) -> bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        let Ok(current) = mode.wait_for(|mode| !is_silent(mode)).await.map(|mode| *mode) else {
            return;
        };
        if !current.delay.is_zero() {
            tokio::time::sleep(current.delay).await;
        }
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
