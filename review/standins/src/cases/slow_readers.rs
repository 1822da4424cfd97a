//! Clients that pause while they read.

use std::io;
use std::time::Duration;

use crate::client::Client;
use crate::client::Outcome;
use crate::client::Request;
use crate::daemon::Daemon;
use crate::daemon::Settings;
use crate::fleet;
use crate::record::Log;
use crate::server::ANSWER_BYTES;
use crate::server::Server;
use crate::server::Stream;
use crate::store::Store;

/// Number of clients.
const CLIENTS: usize = 8;
/// Receive buffer of a client, in bytes.
const RECEIVE_BUFFER: usize = 2_048;
/// Time for which the client of a stream does not read.
const STREAM_PAUSE: Duration = Duration::from_millis(3_500);
/// Time for which the client of a payment does not read, less than its deadline.
const PAYMENT_PAUSE: Duration = Duration::from_millis(2_700);
/// Time that the client of a payment waits.
const PAYMENT_DEADLINE_MS: u64 = 3_000;
/// Connections that a machine may close without an answer.
const ALLOWED: usize = 3;
/// Time that a machine must have run to be in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(4_500);
/// An answer as large as the deployment's largest ones.
const ANSWER: Stream = Stream {
    events: 70,
    event_bytes: 390,
    pause: Duration::from_millis(20),
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
        memory_mb: 512,
    };
    let daemon = Daemon::start(&folder, &settings)?;
    daemon.wait_until_ready()?;
    std::thread::sleep(STABLE_WINDOW);

    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let mut client = Client::connect(daemon.frontend, Some(RECEIVE_BUFFER))?;
        let id = format!("first-{n}");
        client.send(&request("/read/x", &id))?;
        match client.receive(Duration::ZERO) {
            Outcome::Answered(head, _) if head.status() == 200 => clients.push(client),
            other => return Err(io::Error::other(format!("{id} was not served: {other:?}"))),
        }
    }
    log.line(&format!("{CLIENTS} kept connections have served a request; SIGHUP"));
    daemon.signal(libc::SIGHUP);
    std::thread::sleep(Duration::from_millis(200));

    let threads: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(n, mut client)| {
            let (log, model) = (log.clone(), model.clone());
            std::thread::spawn(move || {
                let is_payment = n % 2 == 0;
                let id = format!("{}-{n}", if is_payment { "payment" } else { "stream" });
                let path = if is_payment { "/post/x" } else { "/stream/x" };
                let pause = match (trouble, is_payment) {
                    (false, _) => Duration::ZERO,
                    (true, true) => PAYMENT_PAUSE,
                    (true, false) => STREAM_PAUSE,
                };
                let sent = client.send(&request(path, &id));
                log.line(&format!("client sends {id}: {sent:?}"));
                let outcome = client.receive(pause);
                let is_whole = match &outcome {
                    Outcome::Answered(head, body) => {
                        let expected = match is_payment {
                            true => vec![b'x'; ANSWER_BYTES],
                            false => model.stream_of(&id).into_bytes(),
                        };
                        head.status() == 200 && *body == expected
                    }
                    Outcome::Cut(_) => false,
                };
                let seen = match &outcome {
                    Outcome::Answered(head, body) => {
                        format!("{} {} bytes", head.status(), body.len())
                    }
                    Outcome::Cut(error) => format!("connection ended, no whole answer: {error}"),
                };
                log.line(&format!("client got for {id}: {seen}, whole: {is_whole}"));
                is_whole
            })
        })
        .collect();
    let whole = threads.into_iter().filter_map(|t| t.join().ok()).filter(|whole| *whole).count();
    let cut = CLIENTS - whole;
    let payments = desk.runs().iter().filter(|id| id.starts_with("payment")).count();
    let streams = model.runs().len();
    log.line(&format!("{payments} payments and {streams} streams ran; {cut} answers were cut"));
    Ok(cut <= ALLOWED)
}

fn request<'a>(path: &'a str, id: &'a str) -> Request<'a> {
    let headers = if path.starts_with("/stream/") {
        "X-Model: m\r\nX-Token-Usage: 5000,1500\r\nX-Prompt-Prefix: 5c1e07a2:40,91bd3f06:4960\r\n"
    } else {
        ""
    };
    let deadline_ms = if path.starts_with("/post/") { PAYMENT_DEADLINE_MS } else { 10_000 };
    Request { path, id, deadline_ms, headers, body: b"{}" }
}
