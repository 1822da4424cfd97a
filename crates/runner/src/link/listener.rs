use kumquattiller_link::Link;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::Process;
use crate::link::session::Session;

/// Accepts links until the process stops.
pub async fn run(process: Process, listener: TcpListener) {
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = process.stopped().cancelled() => return,
        };
        match stream {
            Ok((stream, _)) => {
                process.spawn_link(serve_link(process.clone(), stream));
            }
            Err(error) => log::warn!("failed to accept a link connection: {error}"),
        }
    }
}

/// Performs the handshake of a link and runs its session.
async fn serve_link(process: Process, stream: TcpStream) {
    let load = Some(process.load().into());
    match Link::accept(stream, process.identity(), process.config_version(), load).await {
        Ok(link) => {
            process.suspects().add_link(link.sender.clone());
            Session::new(process, link.sender, link.peer).run(link.receiver).await;
        }
        Err(error) => log::debug!("failed to complete the link handshake: {error}"),
    }
}
