//! Fetches changes that a peer has seen, and passes changes on to peers.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use log::debug;
use log::info;
use log::warn;
use prost::Message;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::Gateway;
use crate::freshness::Kind;
use crate::freshness::Revision;
use crate::freshness::Role;
use crate::peer::frames::MAX_MESSAGE_BYTES;
use crate::peer::frames::framed;
use crate::peer::transfer::Request;
use crate::peer::transfer::Response;
use crate::socket::dial;

/// Longest delay before a peer is asked for a change, so that the peers that ask are spread over
/// those that have it.
const MAX_ASK_DELAY: Duration = Duration::from_millis(60);
/// Time that a watcher gives its own watch before it asks a peer.
const WATCH_HEAD_START: Duration = Duration::from_millis(150);
/// Timeout for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of an exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of peers that are answered at the same time. An answer may hold all servers of a fleet.
const MAX_ANSWERS: usize = 4;
/// Maximum size of a request.
const MAX_REQUEST_BYTES: usize = 64;
/// Delay before connections are accepted again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Starts to fetch the changes of a kind from a peer that has seen `change`. If that fails, the copy
/// is overdue soon, and this daemon asks the store.
pub fn start(gateway: &Rc<Gateway>, kind: Kind, change: Revision) {
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        let head_start = match gateway.role() {
            Role::Watcher => WATCH_HEAD_START,
            Role::Listener => Duration::ZERO,
        };
        tokio::time::sleep(head_start + MAX_ASK_DELAY.mul_f64(rand::random())).await;
        let holders = gateway.holders(kind, change);
        if holders.is_empty() || gateway.copy_revision(kind) >= Some(change) {
            return;
        }
        let peer = holders[rand::random_range(0..holders.len())];
        match fetch(&gateway, kind, peer).await {
            Ok(()) => debug!(target: "peer", kind:%, peer:%; "fetched changes from a peer"),
            Err(error) => {
                info!(target: "peer", kind:%, peer:%, error:%; "failed to fetch changes from a peer");
            }
        }
    });
}

/// Asks a peer for the changes of a kind, and applies its answer.
async fn fetch(gateway: &Gateway, kind: Kind, peer: SocketAddr) -> io::Result<()> {
    let asked_at = gateway.now();
    let request = Request::new(kind, gateway.copy_revision(kind));
    let response = timeout(EXCHANGE_TIMEOUT, exchange(peer, request)).await??;
    let update = response.decode_update(asked_at).map_err(io::Error::other)?;
    if update.kind != kind {
        return Err(io::Error::other("the answer is about another kind"));
    }
    gateway.apply_update(update);
    Ok(())
}

async fn exchange(peer: SocketAddr, request: Request) -> io::Result<Response> {
    let mut frames = framed(dial(peer, CONNECT_TIMEOUT).await?, MAX_MESSAGE_BYTES);
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    Ok(Response::decode(frame)?)
}

/// Answers peers that ask for changes, until the process exits.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(gateway: Rc<Gateway>) -> io::Result<()> {
    let listener = TcpListener::bind(gateway.settings().changes).await?;
    let answers = Rc::new(Semaphore::new(MAX_ANSWERS));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(target: "peer", error:%; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let gateway = gateway.clone();
        let answers = answers.clone();
        tokio::task::spawn_local(async move {
            let result = timeout(EXCHANGE_TIMEOUT, answer(&gateway, stream, &answers)).await;
            if let Err(error) = result.map_err(io::Error::from).flatten() {
                info!(target: "peer", from:%, error:%; "failed to pass changes on to a peer");
            }
        });
    }
}

async fn answer(gateway: &Gateway, stream: TcpStream, answers: &Semaphore) -> io::Result<()> {
    let _permit = answers.acquire().await.map_err(io::Error::other)?;
    let mut frames = framed(stream, MAX_MESSAGE_BYTES);
    frames.codec_mut().set_max_frame_length(MAX_REQUEST_BYTES);
    let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    let request = Request::decode(frame)?;
    let kind = request.kind().try_into().map_err(io::Error::other)?;
    let response = gateway.changes_since(kind, request.copy_revision());
    let response = response.ok_or_else(|| io::Error::other("there is no copy to pass on"))?;
    frames.codec_mut().set_max_frame_length(MAX_MESSAGE_BYTES);
    frames.send(Bytes::from(response.encode_to_vec())).await?;
    SinkExt::<Bytes>::close(&mut frames).await
}
