use kumquattiller_link::Link;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::Daemon;
use crate::link::session::Session;

/// Accepts links until the daemon stops.
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
            Err(error) => log::warn!("link was not accepted: {error}"),
        }
    }
}

/// Greets the other side and serves its frames.
async fn serve(daemon: Daemon, stream: TcpStream) {
    let version = daemon.config_version().get();
    match Link::accept(stream, daemon.identity(), version, None).await {
        Ok(link) => Session::new(daemon, link.sender, link.peer).run(link.receiver).await,
        Err(error) => log::debug!("link was not opened: {error}"),
    }
}
