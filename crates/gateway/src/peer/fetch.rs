use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use log::info;
use log::warn;
use prost::Message;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::Gateway;
use crate::http::dial;
use crate::peer::Document;

/// How long the store has to bring a version that a peer has, before the peer is asked.
const STORE_LEAD: Duration = Duration::from_millis(300);
/// Longest time that a peer is waited for.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Fetches the configuration of a peer, unless a fetch is running or the store is quicker.
pub(super) fn start(gateway: &Rc<Gateway>, peer: SocketAddr) {
    if !gateway.begin_fetch() {
        return;
    }
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        let known = gateway.version();
        tokio::time::sleep(STORE_LEAD).await;
        if gateway.version() == known {
            fetch(&gateway, peer).await;
        }
        gateway.end_fetch();
    });
}

async fn fetch(gateway: &Gateway, peer: SocketAddr) {
    match timeout(FETCH_TIMEOUT, receive(peer)).await {
        Ok(Ok(document)) => {
            info!(target: "config", peer:%, version = document.version; "fetched from a peer");
            gateway.offer_config(document.body, "peer");
            gateway.offer_fleet(&document.servers);
        }
        Ok(Err(error)) => warn!(target: "config", peer:%, error:%; "a peer's configuration failed"),
        Err(_) => warn!(target: "config", peer:%; "a peer's configuration did not come in time"),
    }
}

async fn receive(peer: SocketAddr) -> io::Result<Document> {
    let stream = dial(peer, FETCH_TIMEOUT).await?;
    let mut frames = framed(stream);
    let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    Ok(Document::decode(frame)?)
}

/// Hands the configuration to each peer that connects, until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(gateway: Rc<Gateway>) -> io::Result<()> {
    let listener = TcpListener::bind(gateway.settings().peer).await?;
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(target: "peer", error:%; "a connection could not be accepted");
                tokio::time::sleep(STORE_LEAD).await;
                continue;
            }
        };
        let document = gateway.document();
        tokio::task::spawn_local(async move {
            match timeout(FETCH_TIMEOUT, send(stream, document)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => warn!(target: "peer", from:%, error:%; "a hand-over failed"),
                Err(_) => warn!(target: "peer", from:%; "a hand-over took too long"),
            }
        });
    }
}

async fn send(stream: TcpStream, document: Document) -> io::Result<()> {
    let mut frames = framed(stream);
    frames.send(Bytes::from(document.encode_to_vec())).await?;
    SinkExt::<Bytes>::close(&mut frames).await
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_DOCUMENT_BYTES).new_framed(stream)
}
