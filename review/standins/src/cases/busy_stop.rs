//! Daemons that are stopped while the engines are busy.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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

/// Daemons of the zone; all but the last are stopped.
const DAEMONS: usize = 3;
/// Clients that keep streaming through all daemons.
const OTHERS: usize = 13;
/// Times after the SIGTERM at which new clients send a stream to the first daemon.
const SENT_AFTER_MS: [u64; 3] = [3_200, 3_500, 3_800];
/// Time from the SIGTERM until the platform kills a process.
const GRACE: Duration = Duration::from_millis(8_000);
/// Time that a machine must have run to be in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(4_500);
/// Prompt and answer of each stream, in tokens.
const TOKEN_USAGE: &str = "X-Model: m\r\nX-Token-Usage: 5000,1500\r\n";

/// Returns whether the rule was kept.
pub fn run(trouble: bool, log: &Log) -> io::Result<bool> {
    let ips = fleet::free_ips(DAEMONS + 1)?;
    let folder = fleet::folder()?;
    let own = ips[DAEMONS];
    let store = Store::start(own)?;
    store.put("config", "main", &fleet::config_with_engines(1));
    let engine = Stream {
        events: 32,
        event_bytes: 200,
        pause: Duration::ZERO,
        is_sized: false,
        reset_after: None,
    };
    let server = Server::start_engine("i-engine", "models", own, engine, fleet::ENGINE, log)?;
    store.put("servers", &server.id, &server.registration("ready", "a"));
    let mut daemons = Vec::new();
    for (n, ip) in ips.iter().take(DAEMONS).enumerate() {
        let settings = Settings {
            name: format!("edge-a-{n}"),
            ip: *ip,
            zone: "a".to_owned(),
            store: store.address,
            memory_mb: 512,
        };
        daemons.push(Daemon::start(&folder, &settings)?);
        daemons[n].wait_until_ready()?;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..OTHERS)
        .map(|n| {
            let (is_over, frontend) = (is_over.clone(), daemons[n % DAEMONS].frontend);
            std::thread::spawn(move || keep_streaming(n, frontend, &is_over))
        })
        .collect();
    std::thread::sleep(STABLE_WINDOW);

    let stopped_at = Instant::now();
    if trouble {
        log.line("SIGTERM to edge-a-0 and edge-a-1; edge-a-2 goes on");
        daemons[..DAEMONS - 1].iter().for_each(|daemon| daemon.signal(libc::SIGTERM));
    }
    let frontend = daemons[0].frontend;
    let clients: Vec<_> = SENT_AFTER_MS
        .iter()
        .map(|after_ms| {
            let (log, at) = (log.clone(), stopped_at + Duration::from_millis(*after_ms));
            let id = format!("late-{after_ms}");
            let expected = server.stream_of(&id).into_bytes();
            std::thread::spawn(move || {
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                let outcome = stream(&id, frontend);
                let (is_cut, seen) = match outcome {
                    Ok(Outcome::Answered(head, body)) => {
                        let is_whole = head.status() != 200 || body == expected;
                        (!is_whole, format!("{} {} bytes", head.status(), body.len()))
                    }
                    Ok(Outcome::Cut(error)) => (true, format!("no complete answer: {error}")),
                    Err(error) => (false, format!("not sent: {error}")),
                };
                let ms = stopped_at.elapsed().as_millis();
                log.line(&format!("client got for {id}, {ms} ms after the SIGTERM: {seen}"));
                is_cut.then_some(id)
            })
        })
        .collect();
    if trouble {
        std::thread::sleep((stopped_at + GRACE).saturating_duration_since(Instant::now()));
        daemons.truncate(0);
    }
    let cut: Vec<String> = clients.into_iter().filter_map(|c| c.join().ok().flatten()).collect();
    is_over.store(true, Ordering::Relaxed);
    drop(daemons);
    let _ = others.into_iter().filter_map(|other| other.join().ok()).count();
    let runs = server.runs();
    let lost = cut.iter().filter(|id| runs.contains(id)).count();
    log.line(&format!("{lost} of {} streams were passed on and cut", SENT_AFTER_MS.len()));
    Ok(lost == 0)
}

/// Sends one stream after the other until the end.
fn keep_streaming(n: usize, frontend: std::net::SocketAddr, is_over: &AtomicBool) {
    let mut round = 0;
    while !is_over.load(Ordering::Relaxed) {
        round += 1;
        let outcome = stream(&format!("other-{n}-{round}"), frontend);
        if !matches!(outcome, Ok(Outcome::Answered(head, _)) if head.status() == 200) {
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

fn stream(id: &str, frontend: std::net::SocketAddr) -> io::Result<Outcome> {
    let mut client = Client::connect(frontend, None)?;
    let headers = TOKEN_USAGE;
    client.send(&Request { path: "/stream/x", id, deadline_ms: 10_000, headers, body: b"{}" })?;
    Ok(client.receive(Duration::ZERO))
}
