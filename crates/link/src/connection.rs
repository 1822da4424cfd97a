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

use crate::Identity;
use crate::Sender;
use crate::control;

/// Frames that wait to be written.
const QUEUE_FRAMES: usize = 256;
/// Longest wait for a connection and its greeting.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection whose two sides know each other.
#[derive(Debug)]
pub struct Link {
    /// Sends frames.
    pub sender: Sender,
    /// Receives frames.
    pub receiver: Receiver,
    /// The other side.
    pub peer: Identity,
    /// Configuration version that the other side had.
    pub config_version: u64,
    /// What the other side reported of its backend server.
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
    /// Fails when the connection fails or the bytes are not a frame.
    pub async fn next(&mut self) -> Result<Option<Body>, Error> {
        while let Some(frame) = self.frames.next().await {
            let frame = frame?;
            self.control_bytes.fetch_add(control::bytes_of(&frame), Ordering::Relaxed);
            if let Some(body) = frame.body {
                return Ok(Some(body));
            }
        }
        Ok(None)
    }
}

impl Link {
    /// Connects to `address` and greets the other side.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection or no greeting in time.
    pub async fn connect(
        address: std::net::SocketAddr,
        own: &Identity,
        config_version: u64,
    ) -> Result<Self, Error> {
        let greeting = async {
            let stream = TcpStream::connect(address).await?;
            let (sender, mut receiver) = split(stream)?;
            let _ = sender.send(Body::Hello(hello(own, config_version))).await;
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
        in_time(greeting).await
    }

    /// Accepts a connection: reads the greeting and answers it.
    ///
    /// # Errors
    ///
    /// Fails when the other side does not greet in time.
    pub async fn accept(
        stream: TcpStream,
        own: &Identity,
        config_version: u64,
        load: Option<link::Load>,
    ) -> Result<Self, Error> {
        let greeting = async {
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
        in_time(greeting).await
    }
}

/// Runs a greeting with a time limit.
async fn in_time(greeting: impl Future<Output = Result<Link, Error>>) -> Result<Link, Error> {
    match timeout(GREETING_TIMEOUT, greeting).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Error::Io(std::io::ErrorKind::TimedOut.into())),
    }
}

fn hello(own: &Identity, config_version: u64) -> link::Hello {
    link::Hello {
        sender: own.name.clone(),
        incarnation: own.incarnation,
        config_version,
        zone: own.zone.clone(),
        role: own.role.clone(),
    }
}

/// Splits a connection into a sender with its own task and a receiver.
fn split(stream: TcpStream) -> Result<(Sender, Receiver), Error> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
    let sent_bytes = Arc::new(AtomicU64::new(0));
    let control_bytes = Arc::new(AtomicU64::new(0));
    tokio::spawn(write_frames(write, frames, Arc::clone(&sent_bytes), Arc::clone(&control_bytes)));
    let frames = FramedRead::new(read, Codec::default());
    let receiver = Receiver { frames, control_bytes: Arc::clone(&control_bytes) };
    Ok((Sender::new(queue, sent_bytes, control_bytes), receiver))
}

/// Writes queued frames until the queue or the connection closes.
async fn write_frames(
    write: OwnedWriteHalf,
    mut frames: mpsc::Receiver<Frame>,
    sent_bytes: Arc<AtomicU64>,
    control_bytes: Arc<AtomicU64>,
) {
    let mut sink = FramedWrite::new(write, Codec::default());
    while let Some(frame) = frames.recv().await {
        control_bytes.fetch_add(control::bytes_of(&frame), Ordering::Relaxed);
        if sink.feed(frame).await.is_err() {
            return;
        }
        while let Ok(frame) = frames.try_recv() {
            control_bytes.fetch_add(control::bytes_of(&frame), Ordering::Relaxed);
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
