//! Servers that send bytes without end, or a part of a response, in place of a response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use kumquattiller_clients::Fault;
use kumquattiller_clients::Transport;
use kumquattiller_clients::engine;
use kumquattiller_clients::service;
use kumquattiller_dialect::engine::Completion;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Most bytes that a server gets rid of before its client closes: the largest body (16 MB), and what the
/// system takes for a connection on both sides (32 MB and 4 MB).
const MAX_TAKEN_BYTES: usize = 52 * 1024 * 1024;
/// Bytes after which a server stops by itself.
const ENOUGH_BYTES: usize = 256 * 1024 * 1024;
/// Time in which a call ends.
const LIMIT: Duration = Duration::from_secs(20);
/// Head of a response whose body ends with its connection.
const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
/// Head of such a failure.
const FAILURE_HEAD: &str = "HTTP/1.1 500 Failed\r\n\r\n";
/// Begin of a stream whose first event does not end.
const EVENT: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ";

/// Starts a server that responds to each request with `start`, and then with `piece` without end unless it
/// is empty. Counts the bytes that it got rid of.
async fn serve(start: &'static str, piece: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let taken = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&taken);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let mut next = stream.write_all(start.as_bytes()).await;
            let pieces = piece.repeat(4_096);
            while !piece.is_empty() && next.is_ok() {
                next = stream.write_all(pieces.as_bytes()).await;
                if counter.fetch_add(pieces.len(), Ordering::SeqCst) > ENOUGH_BYTES {
                    break;
                }
            }
        }
    });
    (address, taken)
}

async fn call_service(address: SocketAddr) -> Result<service::Response, Fault> {
    let call = service::Call {
        method: "POST".to_owned(),
        path: "/x".to_owned(),
        content_type: "text/plain".to_owned(),
        key: None,
        body: Bytes::from_static(b"question"),
        timeout: LIMIT,
    };
    service::Client::new(Transport::new(), &format!("http://{address}")).call(call).await
}

async fn call_engine(address: SocketAddr) -> Result<(), engine::Error> {
    let client = engine::Client::new(Transport::new(), &format!("http://{address}"));
    let mut events = client.complete(&Completion::default()).await?;
    while events.next().await?.is_some() {}
    Ok(())
}

/// Guards against a process that keeps all that a faulty server sends, until its memory is used up.
#[test_case("", "\u{1}\u{1}"; "bytes that are no response")]
#[test_case("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"; "header fields")]
#[test_case("HTTP/1.1 200 OK\r\nx-a: ", "bb"; "one header field")]
#[test_case(HEAD, "xx"; "a body")]
#[test_case(FAILURE_HEAD, "xx"; "the body of a failure")]
#[test_case(EVENT, "xx"; "an event")]
#[test_case(EVENT, "\ndata: x"; "an event of many lines")]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_not_kept(start: &'static str, piece: &'static str) {
    let (address, taken) = serve(start, piece).await;
    assert!(timeout(LIMIT, call_engine(address)).await.unwrap().is_err());
    let by_engine = taken.swap(0, Ordering::SeqCst);
    assert!(by_engine <= MAX_TAKEN_BYTES, "{by_engine} bytes of an engine");
    let (address, taken) = serve(start, piece).await;
    assert!(timeout(LIMIT, call_service(address)).await.unwrap().is_err());
    let by_service = taken.load(Ordering::SeqCst);
    assert!(by_service <= MAX_TAKEN_BYTES, "{by_service} bytes of a service");
}

/// Guards against a response that looks whole although its head ends in its middle.
#[test_case("H"; "in the version")]
#[test_case("HTTP/1.1 200"; "in the status line")]
#[test_case("HTTP/1.1 200 OK\r\n"; "after the status line")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-le"; "in the name of a field")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 1"; "in a length")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n"; "after a field")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r"; "in the last line")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\nhalf"; "in a body of a stated length")]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_ends_in_its_middle_is_lost(start: &'static str) {
    let (address, _) = serve(start, "").await;
    assert!(matches!(call_service(address).await, Err(Fault::Lost(_))));
    let (address, _) = serve(start, "").await;
    assert!(call_engine(address).await.is_err());
}
