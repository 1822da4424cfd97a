//! Many users with large prompts come at once. No case, since it exceeds the rates of the sheets.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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

/// Memory of the machine, in MB; a process that exceeds it is killed.
const MEMORY_MB: u64 = 260;
/// Time between two large prompts in usual traffic.
const USUAL_INTERVAL: Duration = Duration::from_millis(400);
/// How many times as many come in a burst.
const BURST: f64 = 2.9;
/// Length of the burst, and of the usual traffic without it.
const LENGTH: Duration = Duration::from_millis(9_500);
/// Size of a prompt's body, which is within the limit of the configuration, in bytes.
const BODY_BYTES: usize = 4_190_000;
/// Connections that a machine may close without an answer.
const ALLOWED: usize = 3;
/// Time that a machine must have run to be in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(4_500);
/// Interval at which the platform looks at the memory of a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// An answer of ten seconds.
const ANSWER: Stream = Stream {
    events: 40,
    event_bytes: 100,
    pause: Duration::from_millis(250),
    is_sized: false,
    reset_after: None,
};

/// Returns whether the rule was kept.
pub fn run(trouble: bool, log: &Log) -> io::Result<bool> {
    let ips = fleet::free_ips(2)?;
    let folder = fleet::folder()?;
    let store = Store::start(ips[1])?;
    store.put("config", "main", &fleet::config(1));
    let model = Server::start("i-model", "models", ips[1], ANSWER, log)?;
    let desk = Server::start("i-desk", "desk", ips[1], ANSWER, log)?;
    for server in [&model, &desk] {
        store.put("servers", &server.id, &server.registration("ready", "a"));
    }
    let settings = Settings {
        name: "edge-a-1".to_owned(),
        ip: ips[0],
        zone: "a".to_owned(),
        store: store.address,
        memory_mb: MEMORY_MB,
    };
    let daemon = Daemon::start(&folder, &settings)?;
    daemon.wait_until_ready()?;
    std::thread::sleep(STABLE_WINDOW);
    let interval = if trouble { USUAL_INTERVAL.div_f64(BURST) } else { USUAL_INTERVAL };
    let count = LENGTH.div_duration_f64(interval) as usize;
    let mut clients = Vec::new();
    for n in 0..count {
        let mut client = Client::connect(daemon.frontend, None)?;
        let id = format!("first-{n}");
        client.send(&request("/read/x", &id, b""))?;
        match client.receive(Duration::ZERO) {
            Outcome::Answered(head, _) if head.status() == 200 => clients.push(client),
            other => return Err(io::Error::other(format!("{id} was not served: {other:?}"))),
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let platform = std::thread::spawn({
        let (is_over, log, pid) = (is_over.clone(), log.clone(), daemon.pid());
        move || enforce_memory(pid, MEMORY_MB, &is_over, &log)
    });
    log.line(&format!(
        "{count} clients on kept connections send a prompt of {BODY_BYTES} bytes each, one every {} ms",
        interval.as_millis()
    ));
    let body = Arc::new(vec![b'p'; BODY_BYTES]);
    let threads: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(n, mut client)| {
            let (log, model, body) = (log.clone(), model.clone(), body.clone());
            std::thread::spawn(move || {
                let id = format!("second-{n}");
                std::thread::sleep(interval * n as u32);
                let sent = client.send(&request("/stream/x", &id, &body));
                let outcome = client.receive(Duration::ZERO);
                let (is_answered, seen) = match &outcome {
                    Outcome::Answered(head, body) => {
                        let is_whole =
                            head.status() != 200 || *body == model.stream_of(&id).into_bytes();
                        (is_whole, format!("{} {} bytes", head.status(), body.len()))
                    }
                    Outcome::Cut(error) => (false, format!("no whole answer: {error}")),
                };
                log.line(&format!("{id}: sent: {sent:?}, got: {seen}"));
                is_answered
            })
        })
        .collect();
    let answered: Vec<bool> = threads.into_iter().filter_map(|t| t.join().ok()).collect();
    is_over.store(true, Ordering::Relaxed);
    let peak = platform.join().unwrap_or_default();
    let runs = model.runs();
    let lost =
        (0..count).filter(|n| !answered[*n] && runs.contains(&format!("second-{n}"))).count();
    let cut = answered.iter().filter(|is_answered| !**is_answered).count();
    log.line(&format!("peak of the process: {peak} MB of {MEMORY_MB} MB"));
    log.line(&format!("{cut} connections ended without an answer; {lost} of these requests ran"));
    Ok(lost <= ALLOWED)
}

/// Kills the process when it exceeds its memory, as the platform does; returns its peak in MB.
pub fn enforce_memory(pid: u32, memory_mb: u64, is_over: &AtomicBool, log: &Log) -> u64 {
    let mut peak = 0;
    while !is_over.load(Ordering::Relaxed) {
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
        let used = kb.unwrap_or(0) / 1_000;
        peak = peak.max(used);
        if used > memory_mb {
            log.line(&format!("the process uses {used} MB; the platform kills it"));
            // SAFETY: the process was started by this program and has not been waited for.
            unsafe { libc::kill(pid as i32, libc::SIGKILL) };
            return peak;
        }
        std::thread::sleep(LOOK_INTERVAL);
    }
    peak
}

fn request<'a>(path: &'a str, id: &'a str, body: &'a [u8]) -> Request<'a> {
    let headers = if path.starts_with("/stream/") {
        "X-Model: m\r\nX-Token-Usage: 1000000,800\r\nX-Prompt-Prefix: 5c1e07a2:40,91bd3f06:999960\r\n"
    } else {
        ""
    };
    Request { path, id, deadline_ms: 15_000, headers, body }
}
