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

use crate::Gateway;
use crate::freshness::Source;
use crate::peer::Document;
use crate::peer::frames::MAX_MESSAGE_BYTES;
use crate::peer::frames::framed;
use crate::socket::dial;

/// Delay before a newer version is fetched from a peer, in which the store may deliver it. The same
/// delay is used before accepting connections again after an error.
const STORE_HEAD_START: Duration = Duration::from_millis(300);
/// Time limit for transferring a document between peers.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts to fetch the configuration, the servers and the evacuations from a peer, unless a fetch is
/// running. Fetches nothing if another version arrives within [`STORE_HEAD_START`] and the
/// evacuations are complete by then.
pub(super) fn start(gateway: &Rc<Gateway>, peer: SocketAddr) {
    if !gateway.begin_fetch() {
        return;
    }
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        let version_before = gateway.version();
        tokio::time::sleep(STORE_HEAD_START).await;
        if gateway.version() == version_before || gateway.needs_evacuations_from_document() {
            fetch(&gateway, peer).await;
        }
        gateway.end_fetch();
    });
}

async fn fetch(gateway: &Gateway, peer: SocketAddr) {
    let asked_at = gateway.now();
    match timeout(FETCH_TIMEOUT, receive(peer)).await {
        Ok(Ok(document)) => {
            info!(
                target: "config", peer:%, version = document.version;
                "fetched the configuration from a peer"
            );
            if let Some(evacuations) = document.evacuations {
                gateway.load_evacuations_from_peer(evacuations, asked_at);
            }
            gateway.update_config(document.body, Source::Peer);
            gateway.load_fleet_from_peer(&document.servers);
        }
        Ok(Err(error)) => warn!(target: "config", peer:%, error:%; "failed to fetch from a peer"),
        Err(_) => warn!(target: "config", peer:%; "fetching from a peer timed out"),
    }
}

async fn receive(peer: SocketAddr) -> io::Result<Document> {
    let stream = dial(peer, FETCH_TIMEOUT).await?;
    let mut frames = framed(stream, MAX_MESSAGE_BYTES);
    let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    Ok(Document::decode(frame)?)
}

/// Sends the configuration, the backend servers and the evacuations to each peer that connects,
/// until the process exits.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(gateway: Rc<Gateway>) -> io::Result<()> {
    let listener = TcpListener::bind(gateway.settings().peer).await?;
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(target: "peer", error:%; "failed to accept a connection");
                tokio::time::sleep(STORE_HEAD_START).await;
                continue;
            }
        };
        let document = gateway.document();
        tokio::task::spawn_local(async move {
            match timeout(FETCH_TIMEOUT, send(stream, document)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    warn!(target: "peer", from:%, error:%; "failed to send the document to a peer")
                }
                Err(_) => warn!(target: "peer", from:%; "sending the document to a peer timed out"),
            }
        });
    }
}

async fn send(stream: TcpStream, document: Document) -> io::Result<()> {
    let mut frames = framed(stream, MAX_MESSAGE_BYTES);
    frames.send(Bytes::from(document.encode_to_vec())).await?;
    SinkExt::<Bytes>::close(&mut frames).await
}
