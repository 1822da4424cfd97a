//! Requests that may have crashed servers.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use kumquattiller_base::runner;
use log::info;

use crate::Gateway;
use crate::http::Request;
use crate::socket::dial;
use crate::suspect::CRASH_LIMIT;
use crate::suspect::Crash;

/// Time for an exiting process to close all its sockets.
const PROCESS_EXIT_TIME: Duration = Duration::from_millis(50);
/// Time limit for checking whether a server still accepts connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl Gateway {
    /// Returns whether a request is suspected of crashing servers, so that it must not be sent.
    pub fn is_suspect(&self, request: &Request) -> bool {
        self.suspects.borrow().is_refused(&request.features)
    }

    /// Records that a request has not crashed the server that writes its response.
    pub fn exonerate(&self, request: &Request) {
        self.suspects.borrow_mut().exonerate(&request.features, self.now());
    }

    /// Checks whether a server exited while it ran a request, and if so blames the request. A lost
    /// connection alone is no proof, since the network may have caused it.
    pub fn check_server_exit(self: &Rc<Self>, request: &Rc<Request>, server: &runner::Id) {
        let Some(server) = self.fleet.borrow().server(server).cloned() else {
            return;
        };
        let (gateway, request) = (self.clone(), request.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(PROCESS_EXIT_TIME).await;
            let refused = match dial(server.address, PROBE_TIMEOUT).await {
                Ok(_) => false,
                Err(error) => error.kind() == ErrorKind::ConnectionRefused,
            };
            if refused {
                gateway.blame(&request, &server.id, Crash::of(server.start_key()));
            } else {
                info!(
                    target: "request", id = request.metadata.id, server:% = server.id;
                    "backend server is still running"
                );
            }
        });
    }

    /// Blames a request for the crash of a server, and tells the peers.
    fn blame(&self, request: &Request, server: &runner::Id, crash: Crash) {
        let now = self.now();
        let crashes = self.suspects.borrow_mut().blame(&request.features, crash, now);
        info!(
            target: "request", id = request.metadata.id, server:%, deaths = crashes;
            "backend server exited while running the request"
        );
        if crashes >= CRASH_LIMIT && self.is_suspect(request) {
            info!(
                target: "request", id = request.metadata.id, deaths = crashes;
                "request is suspected of crashing servers and will be refused"
            );
        }
        self.request_report();
    }
}
