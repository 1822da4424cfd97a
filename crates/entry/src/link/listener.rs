use kumquattiller_link::Link;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::Daemon;
use crate::link::session::Session;

/// Accepts link connections until the daemon stops.
pub async fn run(daemon: Daemon, listener: TcpListener) {
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = daemon.stopped().cancelled() => return,
        };
        match stream {
            Ok((stream, _)) => {
                tokio::spawn(serve(daemon.clone(), stream));
            }
            Err(error) => log::warn!("failed to accept a link connection: {error}"),
        }
    }
}

/// Performs the link handshake, then serves the peer's frames.
async fn serve(daemon: Daemon, stream: TcpStream) {
    let version = daemon.config_version().get();
    match Link::accept(stream, daemon.identity(), version, None).await {
        Ok(link) => Session::new(daemon, link.sender, link.peer).run(link.receiver).await,
        Err(error) => log::debug!("link handshake failed: {error}"),
    }
}
