//! Accepted connections send small pieces at once.

use kumquattiller_entry::http::Acceptor;
use poem::listener::Acceptor as _;
use poem::listener::Listener;
use poem::listener::TcpListener;
use tokio::net::TcpStream;

#[tokio::test]
async fn accepted_connections_do_not_delay() {
    let inner = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("a port");
    let mut acceptor = Acceptor::new(inner);
    let address = acceptor.local_addr()[0].as_socket_addr().copied().expect("an address");
    let _caller = TcpStream::connect(address).await.expect("a connection");
    let (stream, ..) = acceptor.accept().await.expect("a connection");
    assert!(stream.nodelay().expect("an option of the socket"));
}
