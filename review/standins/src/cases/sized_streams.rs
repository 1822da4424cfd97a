//! A stream whose runner states its length and is reset.

use std::io;
use std::time::Duration;

use crate::client::Client;
use crate::client::Outcome;
use crate::client::Request;
use crate::daemon::Daemon;
use crate::daemon::Settings;
use crate::fleet;
use crate::record::Log;
use crate::server::Server;
use crate::server::Stream;
use crate::store::Store;

/// Number of streams, one after the other.
const STREAMS: usize = 6;
/// Number of events of a stream.
const EVENTS: usize = 10;
/// Time that a machine must have run to be in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(4_500);

/// Returns whether the rule was kept.
pub fn run(trouble: bool, log: &Log) -> io::Result<bool> {
    let ips = fleet::free_ips(2)?;
    let folder = fleet::folder()?;
    let store = Store::start(ips[1])?;
    store.put("config", "main", &fleet::config(1));
    let answer = Stream {
        events: EVENTS,
        event_bytes: 100,
        pause: Duration::from_millis(20),
        is_sized: true,
        reset_after: trouble.then_some(3),
    };
    for id in ["i-one", "i-two", "i-three"] {
        let server = Server::start(id, "models", ips[1], answer, log)?;
        store.put("servers", id, &server.registration("ready", "a"));
    }
    let settings = Settings {
        name: "edge-a-1".to_owned(),
        ip: ips[0],
        zone: "a".to_owned(),
        store: store.address,
        memory_mb: 512,
    };
    let daemon = Daemon::start(&folder, &settings)?;
    daemon.wait_until_ready()?;
    std::thread::sleep(STABLE_WINDOW);
    let mut broken = 0;
    for n in 0..STREAMS {
        let id = format!("stream-{n}");
        let headers = "X-Model: m\r\nX-Token-Usage: 5000,1500\r\n";
        let request =
            Request { path: "/stream/x", id: &id, deadline_ms: 10_000, headers, body: b"{}" };
        let mut client = Client::connect(daemon.frontend, None)?;
        client.send(&request)?;
        match client.receive(Duration::ZERO) {
            Outcome::Answered(head, body) if head.status() == 200 => {
                let text = String::from_utf8_lossy(&body);
                let whole = text.matches("\n\n").count();
                let is_whole = whole == EVENTS && text.ends_with("\n\n");
                log.line(&format!(
                    "client got for {id}: complete answer, {} bytes, Content-Length {:?}, {whole} of \
                     {EVENTS} events, whole: {is_whole}",
                    body.len(),
                    head.header("content-length")
                ));
                broken += usize::from(!is_whole);
            }
            other => log.line(&format!("client got for {id}: no complete answer: {other:?}")),
        }
    }
    log.line(&format!("{broken} of {STREAMS} streams ended as complete before their last event"));
    Ok(broken == 0)
}
