//! A TCP relay that can cut, refuse, delay and silence connections.

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

/// Most bytes passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// How bytes are passed on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Mode {
    /// Nothing goes from the side that connected to the target.
    pub silent_out: bool,
    /// Nothing goes from the target to the side that connected.
    pub silent_back: bool,
    /// How much later bytes are passed on.
    pub delay: Duration,
}

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
    mode: watch::Sender<Mode>,
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
        let shared =
            Arc::new(Shared { target, closed, cut: Notify::new(), mode: watch::Sender::default() });
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

    /// Changes how bytes are passed on, on open connections too.
    pub fn set(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
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

async fn pass(near: TcpStream, shared: Arc<Shared>) {
    let cut = shared.cut.notified();
    tokio::pin!(cut);
    cut.as_mut().enable();
    let Ok(far) = TcpStream::connect(shared.target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let out = pump(near_read, far_write, shared.mode.subscribe(), |mode| mode.silent_out);
    let back = pump(far_read, near_write, shared.mode.subscribe(), |mode| mode.silent_back);
    tokio::select! {
        _ = async { tokio::join!(out, back) } => {}
        () = cut => {}
    }
}

/// Passes bytes on in one direction until the connection ends; holds them while it is silent.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    silent: impl Fn(&Mode) -> bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        let Ok(now) = mode.wait_for(|mode| !silent(mode)).await.map(|mode| *mode) else {
            return;
        };
        if !now.delay.is_zero() {
            tokio::time::sleep(now.delay).await;
        }
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
