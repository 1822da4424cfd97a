//! Guards against delayed sending of single tokens: accepted connections set `TCP_NODELAY`.

use kumquattiller_entry::http::Acceptor;
use poem::listener::Acceptor as _;
use poem::listener::Listener;
use poem::listener::TcpListener;
use tokio::net::TcpStream;

#[tokio::test]
async fn accepted_connections_do_not_delay() {
    let inner = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("listener binds");
    let mut acceptor = Acceptor::new(inner);
    let address =
        acceptor.local_addr()[0].as_socket_addr().copied().expect("listener has a socket address");
    let _caller = TcpStream::connect(address).await.expect("client connects");
    let (stream, ..) = acceptor.accept().await.expect("server accepts");
    assert!(stream.nodelay().expect("socket option is readable"));
}
