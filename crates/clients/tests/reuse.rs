//! Tests that connections to an engine are reused after a stream has ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use kumquattiller_clients::Transport;
use kumquattiller_clients::engine::Client;
use kumquattiller_dialect::engine::Completion;
use kumquattiller_standins::engine;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Number of streams, which are read one after the other.
const STREAMS: usize = 10;

/// Starts a proxy that forwards connections to `target` and counts them.
async fn counting_proxy(target: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let mut upstream = TcpStream::connect(target).await.expect("engine listens");
                let _ = copy_bidirectional(&mut stream, &mut upstream).await;
            });
        }
    });
    (address, count)
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_share_connections() {
    let server = engine::Server::start(engine::Settings::default());
    let (address, count) = counting_proxy(server.address()).await;
    let client = Client::new(Transport::new(), &format!("http://{address}"));
    for index in 0..STREAMS {
        let completion = Completion {
            request: format!("request-{index}"),
            model: "any".to_owned(),
            prompt: "gas odour".to_owned(),
            prompt_tokens: 3,
            max_tokens: 2,
            ..Completion::default()
        };
        let mut events = client.complete(&completion).await.expect("a stream");
        while events.next().await.expect("an event").is_some() {}
    }
    let connections = count.load(Ordering::SeqCst);
    assert!(connections < STREAMS, "{connections} connections for {STREAMS} streams");
}
