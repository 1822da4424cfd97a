use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is dropped.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which sent data may stay unacknowledged before a connection is dropped.
pub const DEAD_AFTER: Duration = Duration::from_millis(2_000);

/// Opens a TCP connection and sets its options with [`set_socket_options`].
///
/// # Errors
///
/// Fails if the connection cannot be opened within `limit`.
pub async fn dial(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address)).await??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Disables Nagle's algorithm and sets keepalive and user timeout, so that an unresponsive peer is
/// detected.
///
/// # Errors
///
/// Fails if the system rejects an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(DEAD_AFTER))
}
