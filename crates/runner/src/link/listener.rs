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
                tokio::spawn(serve(process.clone(), stream));
            }
            Err(error) => log::warn!("link was not accepted: {error}"),
        }
    }
}

/// Greets the other side and serves its frames.
async fn serve(process: Process, stream: TcpStream) {
    let load = Some(process.load().into());
    match Link::accept(stream, process.identity(), process.config_version(), load).await {
        Ok(link) => {
            process.suspects().report_on(link.sender.clone());
            Session::new(process, link.sender, link.peer).run(link.receiver).await;
        }
        Err(error) => log::debug!("link was not opened: {error}"),
    }
}
