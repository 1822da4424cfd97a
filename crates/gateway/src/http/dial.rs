use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Silence after which a connection is probed, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is lost.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which a connection is lost whose bytes are not acknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Opens a connection that notices a peer that has gone silent.
///
/// # Errors
///
/// Fails when the connection is refused or not open within `limit`.
pub async fn dial(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address)).await??;
    tune(&stream)?;
    Ok(stream)
}

/// Sets a connection to send at once and to notice a peer that has gone silent.
///
/// # Errors
///
/// Fails when the system refuses an option.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
