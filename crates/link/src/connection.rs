use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use kumquattiller_wire::Body;
use kumquattiller_wire::Codec;
use kumquattiller_wire::Error;
use kumquattiller_wire::Frame;
use kumquattiller_wire::link;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::sync::CancellationToken;

use crate::Identity;
use crate::Sender;
use crate::control;

/// Capacity of the queue of frames to write.
const QUEUE_FRAMES: usize = 256;
/// Time limit for the handshake and, on the connecting side, the connection attempt before it.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection on which the handshake has completed.
#[derive(Debug)]
pub struct Link {
    /// Sends frames.
    pub sender: Sender,
    /// Receives frames.
    pub receiver: Receiver,
    /// Identity of the peer; its zone and role are empty on the connecting side, because
    /// [`Welcome`](link::Welcome) does not carry them.
    pub peer: Identity,
    /// Configuration version of the peer at the handshake.
    pub config_version: u64,
    /// Load that the peer reported for its backend server at the handshake.
    pub load: Option<link::Load>,
}

/// Receives frames from a link.
#[derive(Debug)]
pub struct Receiver {
    frames: FramedRead<OwnedReadHalf, Codec>,
    control_bytes: Arc<AtomicU64>,
}

impl Receiver {
    /// Returns the next frame, or `None` when the link is closed.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the data is not a valid frame.
    pub async fn next(&mut self) -> Result<Option<Body>, Error> {
        while let Some(frame) = self.frames.next().await {
            let frame = frame?;
            self.control_bytes.fetch_add(control::frame_bytes(&frame), Ordering::Relaxed);
            if let Some(body) = frame.body {
                return Ok(Some(body));
            }
        }
        Ok(None)
    }
}

impl Link {
    /// Connects to `address` and performs the handshake.
    ///
    /// # Errors
    ///
    /// Fails when the connection or the handshake fails or exceeds the time limit.
    pub async fn connect(
        address: std::net::SocketAddr,
        own: &Identity,
        config_version: u64,
    ) -> Result<Self, Error> {
        let handshake = async {
            let stream = TcpStream::connect(address).await?;
            let (sender, mut receiver) = split(stream)?;
            let _ = sender.send(Body::Hello(hello_frame(own, config_version))).await;
            let Some(Body::Welcome(welcome)) = receiver.next().await? else {
                return Err(Error::Missing("welcome"));
            };
            let peer = Identity {
                name: welcome.sender,
                incarnation: welcome.incarnation,
                zone: String::new(),
                role: String::new(),
            };
            let config_version = welcome.config_version;
            Ok(Self { sender, receiver, peer, config_version, load: welcome.load })
        };
        with_timeout(handshake).await
    }

    /// Performs the handshake on an accepted connection.
    ///
    /// # Errors
    ///
    /// Fails when the handshake fails or exceeds the time limit.
    pub async fn accept(
        stream: TcpStream,
        own: &Identity,
        config_version: u64,
        load: Option<link::Load>,
    ) -> Result<Self, Error> {
        let handshake = async {
            let (sender, mut receiver) = split(stream)?;
            let Some(Body::Hello(hello)) = receiver.next().await? else {
                return Err(Error::Missing("hello"));
            };
            let welcome = link::Welcome {
                sender: own.name.clone(),
                incarnation: own.incarnation,
                config_version,
                load,
            };
            let _ = sender.send(Body::Welcome(welcome)).await;
            let peer = Identity {
                name: hello.sender,
                incarnation: hello.incarnation,
                zone: hello.zone,
                role: hello.role,
            };
            Ok(Self { sender, receiver, peer, config_version: hello.config_version, load: None })
        };
        with_timeout(handshake).await
    }
}

/// Runs a handshake with a time limit.
async fn with_timeout(handshake: impl Future<Output = Result<Link, Error>>) -> Result<Link, Error> {
    match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Error::Io(std::io::ErrorKind::TimedOut.into())),
    }
}

fn hello_frame(own: &Identity, config_version: u64) -> link::Hello {
    link::Hello {
        sender: own.name.clone(),
        incarnation: own.incarnation,
        config_version,
        zone: own.zone.clone(),
        role: own.role.clone(),
    }
}

/// Splits a connection into a sender, whose frames a task of its own writes, and a receiver.
fn split(stream: TcpStream) -> Result<(Sender, Receiver), Error> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
    let sent_bytes = Arc::new(AtomicU64::new(0));
    let control_bytes = Arc::new(AtomicU64::new(0));
    let closing = CancellationToken::new();
    tokio::spawn(write_frames(
        write,
        frames,
        closing.clone(),
        Arc::clone(&sent_bytes),
        Arc::clone(&control_bytes),
    ));
    let frames = FramedRead::new(read, Codec::default());
    let receiver = Receiver { frames, control_bytes: Arc::clone(&control_bytes) };
    Ok((Sender::new(queue, closing, sent_bytes, control_bytes), receiver))
}

/// Writes queued frames until the queue or the connection closes, or until `closing` is cancelled
/// and the queue is empty.
///
/// Flushes once for all the frames that are queued at the time.
async fn write_frames(
    write: OwnedWriteHalf,
    mut frames: mpsc::Receiver<Frame>,
    closing: CancellationToken,
    sent_bytes: Arc<AtomicU64>,
    control_bytes: Arc<AtomicU64>,
) {
    let mut sink = FramedWrite::new(write, Codec::default());
    loop {
        let received = tokio::select! {
            frame = frames.recv() => frame,
            () = closing.cancelled(), if !frames.is_closed() => {
                frames.close();
                continue;
            }
        };
        let Some(frame) = received else {
            break;
        };
        control_bytes.fetch_add(control::frame_bytes(&frame), Ordering::Relaxed);
        if sink.feed(frame).await.is_err() {
            return;
        }
        while let Ok(frame) = frames.try_recv() {
            control_bytes.fetch_add(control::frame_bytes(&frame), Ordering::Relaxed);
            if sink.feed(frame).await.is_err() {
                return;
            }
        }
        sent_bytes.fetch_add(sink.write_buffer().len() as u64, Ordering::Relaxed);
        if sink.flush().await.is_err() {
            return;
        }
    }
    let _ = sink.close().await;
}
