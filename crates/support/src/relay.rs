//! A TCP relay that can close, refuse, delay and silence connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
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

impl Mode {
    const fn is_silent(&self, direction: Direction) -> bool {
        match direction {
            Direction::Out => self.silent_out,
            Direction::Back => self.silent_back,
        }
    }
}

/// Direction in which a connection forwards bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the target.
    Out,
    /// From the target to the connecting side.
    Back,
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
    /// Number of connections accepted so far.
    accepted: AtomicU64,
    /// Number of the first connections that forward nothing more to the target.
    muted_out: watch::Sender<u64>,
    /// Number of the first connections that forward nothing more from the target.
    muted_back: watch::Sender<u64>,
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
        let shared = Arc::new(Shared {
            target,
            closed: AtomicBool::new(false),
            cut: Notify::new(),
            mode: watch::Sender::default(),
            accepted: AtomicU64::new(0),
            muted_out: watch::Sender::default(),
            muted_back: watch::Sender::default(),
        });
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

    /// Forwards no more bytes in a direction on the connections that are open now. They stay open
    /// until they are cut; new ones are forwarded as usual.
    pub fn mute_open(&self, direction: Direction) {
        let accepted = self.shared.accepted.load(Ordering::SeqCst);
        self.shared.muted(direction).send_replace(accepted);
    }

    /// Forwards new connections again after [`Self::close`].
    pub fn open(&self) {
        self.shared.closed.store(false, Ordering::SeqCst);
    }
}

impl Shared {
    const fn muted(&self, direction: Direction) -> &watch::Sender<u64> {
        match direction {
            Direction::Out => &self.muted_out,
            Direction::Back => &self.muted_back,
        }
    }

    /// Waits until the connection with a number forwards nothing more in a direction.
    async fn wait_until_muted(&self, number: u64, direction: Direction) {
        let mut muted = self.muted(direction).subscribe();
        let _ = muted.wait_for(|count| number < *count).await;
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        if !shared.closed.load(Ordering::SeqCst) {
            let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(forward_connection(stream, number, Arc::clone(&shared)));
        }
    }
}

async fn forward_connection(client: TcpStream, number: u64, shared: Arc<Shared>) {
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
    let forward = |from, to, direction| forward_bytes(from, to, &shared, number, direction);
    let outbound = forward(client_read, target_write, Direction::Out);
    let inbound = forward(target_read, client_write, Direction::Back);
    tokio::select! {
        _ = async { tokio::join!(outbound, inbound) } => {}
        () = cut => {}
    }
}

/// Forwards bytes in one direction until the connection ends; holds them back while the direction
/// is silent, and for good once the connection with this number is muted.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    number: u64,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut mode = shared.mode.subscribe();
    let mut muted = std::pin::pin!(shared.wait_until_muted(number, direction));
    loop {
        let read = tokio::select! {
            biased;
            () = muted.as_mut() => std::future::pending().await,
            read = from.read(&mut chunk) => read,
        };
        let Ok(length) = read else {
            break;
        };
        let Ok(current) = mode.wait_for(|mode| !mode.is_silent(direction)).await.map(|mode| *mode)
        else {
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
