//! A thousand clients that do not read. No case: an attempt at an entry of KNOWN-RED.txt.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::cases::large_prompts::enforce_memory;
use crate::client::Client;
use crate::client::Request;
use crate::daemon::Daemon;
use crate::daemon::Settings;
use crate::fleet;
use crate::record::Log;
use crate::server::Server;
use crate::server::Stream;
use crate::store::Store;

/// Memory of the machine, in MB.
const MEMORY_MB: u64 = 160;
/// Number of clients.
const CLIENTS: usize = 1_000;
/// Receive buffer of a client, in bytes.
const RECEIVE_BUFFER: usize = 4_096;
/// Time for which they do not read.
const WATCHED: Duration = Duration::from_secs(8);

/// Returns whether the process stayed within its memory; `answer` is what each client asks for.
pub fn run(answer: Stream, log: &Log) -> io::Result<bool> {
    let ips = fleet::free_ips(2)?;
    let folder = fleet::folder()?;
    let store = Store::start(ips[1])?;
    store.put("config", "main", &fleet::config(1));
    let model = Server::start("i-model", "models", ips[1], answer, log)?;
    store.put("servers", &model.id, &model.registration("ready", "a"));
    let settings = Settings {
        name: "edge-a-1".to_owned(),
        ip: ips[0],
        zone: "a".to_owned(),
        store: store.address,
        memory_mb: MEMORY_MB,
    };
    let daemon = Daemon::start(&folder, &settings)?;
    daemon.wait_until_ready()?;
    let is_over = Arc::new(AtomicBool::new(false));
    let platform = std::thread::spawn({
        let (is_over, log, pid) = (is_over.clone(), log.clone(), daemon.pid());
        move || enforce_memory(pid, MEMORY_MB, &is_over, &log)
    });
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let mut client = Client::connect(daemon.frontend, Some(RECEIVE_BUFFER))?;
        let id = format!("idle-{n}");
        let headers = "X-Model: m\r\n";
        client.send(&Request {
            path: "/stream/x",
            id: &id,
            deadline_ms: 10_000,
            headers,
            body: b"",
        })?;
        clients.push(client);
    }
    std::thread::sleep(WATCHED);
    is_over.store(true, Ordering::Relaxed);
    let peak = platform.join().unwrap_or_default();
    log.line(&format!("{} streams ran; peak {peak} MB of {MEMORY_MB} MB", model.runs().len()));
    Ok(peak <= MEMORY_MB)
}
