//! A store that returns from an older copy just after a server has left. No case; see the report.

use std::io;
use std::time::Duration;
use std::time::Instant;

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

/// Bound of the settings: how long a server takes requests after it has left.
const DRAIN: Duration = Duration::from_millis(3_000);
/// Time that a machine must have run, and the core without disruption, to be in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(4_500);
/// Time from the server's leaving until the store is away.
const UNTIL_AWAY: Duration = Duration::from_millis(1_500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time from the store's return until what was written since its copy has been written again.
const REWRITTEN_AFTER: Duration = Duration::from_millis(2_000);
/// Time beyond [`DRAIN`] after which the server that has left exits.
const EXIT_MARGIN: Duration = Duration::from_millis(2_000);
/// Number of requests after the end of the bound.
const REQUESTS: usize = 6;

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
    let daemon = Daemon::start(&folder, &settings)?;
    daemon.wait_until_ready()?;
    std::thread::sleep(STABLE_WINDOW);
    let copy = store.copy();
    std::thread::sleep(Duration::from_millis(500));

    let left_at = Instant::now();
    leaver.set_leaving();
    store.remove("servers", &leaver.id);
    log.line("i-leaver leaves without reporting that it drains: its entry is removed");
    let revision = store.revision();
    wait_until(left_at + UNTIL_AWAY);
    let acknowledged = store.watched_from("servers") >= revision;
    log.line(&format!("the machine has watched the servers from the removal on: {acknowledged}"));
    if !acknowledged {
        return Err(io::Error::other("the machine has not seen the removal"));
    }
    if trouble {
        log.line("the store is away");
        store.set_away(true);
        std::thread::sleep(AWAY);
        store.restore(copy);
        store.set_away(false);
        log.line("the store is back from an older copy, which holds the entry of i-leaver");
        store.put("servers", &stayer.id, &stayer.registration("ready", "a"));
    }
    let removed = std::thread::spawn({
        let (store, log, id) = (store.clone(), log.clone(), leaver.id.clone());
        move || {
            std::thread::sleep(REWRITTEN_AFTER);
            store.remove("servers", &id);
            log.line("the removal of i-leaver has been written again");
        }
    });
    let exited = std::thread::spawn({
        let leaver = leaver.clone();
        move || {
            wait_until(left_at + DRAIN + EXIT_MARGIN);
            leaver.exit();
        }
    });
    wait_until(left_at + DRAIN + Duration::from_millis(150));
    let mut answers = Vec::new();
    for n in 0..REQUESTS {
        let id = format!("late-{n}");
        log.line(&format!(
            "client sends {id}, {} ms after the leaving",
            left_at.elapsed().as_millis()
        ));
        answers.push(std::thread::spawn({
            let (frontend, log) = (daemon.frontend, log.clone());
            move || {
                let path = "/post/x";
                let request =
                    Request { path, id: &id, deadline_ms: 3_000, headers: "", body: b"{}" };
                let outcome = Client::connect(frontend, None).and_then(|mut client| {
                    client.send(&request)?;
                    Ok(client.receive(Duration::ZERO))
                });
                let seen = match outcome {
                    Ok(Outcome::Answered(head, _)) => format!("{}", head.status()),
                    Ok(Outcome::Cut(error)) | Err(error) => format!("no answer: {error}"),
                };
                log.line(&format!("client got for {id}: {seen}"));
            }
        }));
    }
    for thread in answers.into_iter().chain([removed, exited]) {
        thread.join().map_err(|_| io::Error::other("a thread failed"))?;
    }
    let late = leaver.runs().iter().filter(|id| id.starts_with("late")).count();
    log.line(&format!("i-leaver got {late} requests that were sent after the bound"));
    Ok(late == 0)
}

fn wait_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
