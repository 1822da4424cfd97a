//! An entry of another writer among the servers, whose bytes can't be read.

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

/// Bound of the settings: how long a server takes requests after it has reported that it drains.
const DRAIN: Duration = Duration::from_millis(3_000);
/// Time that a machine must have run to be in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(4_500);
/// Time beyond [`DRAIN`] after which the requests are sent.
const MARGIN: Duration = Duration::from_millis(1_000);
/// Number of requests after the end of the bound.
const REQUESTS: usize = 20;
/// Content of the entry: a JSON string whose bytes are no text.
const TORN: &[u8] = b"{\"service\":\"desk\",\"address\":\"\xff\xfe\xc3\x28\"}";

/// Returns whether the rule was kept.
pub fn run(trouble: bool, log: &Log) -> io::Result<bool> {
    let ips = fleet::free_ips(2)?;
    let folder = fleet::folder()?;
    let store = Store::start(ips[1])?;
    store.put("config", "main", &fleet::config(1));
    let answer = Stream {
        events: 1,
        event_bytes: 100,
        pause: Duration::from_millis(20),
        is_sized: false,
        reset_after: None,
    };
    let leaver = Server::start("i-leaver", "desk", ips[1], answer, log)?;
    let stayer = Server::start("i-stayer", "desk", ips[1], answer, log)?;
    for server in [&leaver, &stayer] {
        store.put("servers", &server.id, &server.registration("ready", "a"));
    }
    let settings = Settings {
        name: "edge-a-1".to_owned(),
        ip: ips[0],
        zone: "a".to_owned(),
        store: store.address,
        memory_mb: 512,
    };
    let mut daemon = Daemon::start(&folder, &settings)?;
    daemon.wait_until_ready()?;
    std::thread::sleep(STABLE_WINDOW);
    if trouble {
        store.put_bytes("servers", "i-other", TORN);
        log.line("another writer puts an entry whose bytes can't be read");
    }
    std::thread::sleep(Duration::from_millis(500));
    store.put("servers", &leaver.id, &leaver.registration("draining", "a"));
    log.line("i-leaver reports that it drains; the store has accepted it");
    std::thread::sleep(DRAIN + MARGIN);
    for n in 0..REQUESTS {
        let id = format!("late-{n}");
        let request =
            Request { path: "/post/x", id: &id, deadline_ms: 3_000, headers: "", body: b"{}" };
        let outcome = Client::connect(daemon.frontend, None).and_then(|mut client| {
            client.send(&request)?;
            Ok(client.receive(Duration::ZERO))
        });
        let seen = match outcome {
            Ok(Outcome::Answered(head, _)) => format!("{}", head.status()),
            Ok(Outcome::Cut(error)) | Err(error) => format!("no answer: {error}"),
        };
        log.line(&format!("client got for {id}: {seen}"));
    }
    let late = leaver.runs().iter().filter(|id| id.starts_with("late")).count();
    log.line(&format!("i-leaver got {late} of {REQUESTS} requests that were sent after the bound"));
    daemon.restart()?;
    let ready = daemon.wait_until_ready();
    log.line(&format!("after a restart the daemon becomes ready: {ready:?}"));
    Ok(late == 0 && ready.is_ok())
}
