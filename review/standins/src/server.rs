//! Stand-in of a backend server: it answers requests and streams events.

use std::io;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;
use socket2::SockRef;

use crate::fleet::Engine;
use crate::http::Head;
use crate::http::Reader;
use crate::record::Log;

/// Time that a request takes that is not streamed.
const WORK: Duration = Duration::from_millis(15);

/// Size of an answer that is not streamed, the largest of the sheets, in bytes.
pub const ANSWER_BYTES: usize = 4_800;

/// What a server sends for a streaming request.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    /// Number of events.
    pub events: usize,
    /// Size of an event, in bytes.
    pub event_bytes: usize,
    /// Time between two events.
    pub pause: Duration,
    /// Whether the answer states its length.
    pub is_sized: bool,
    /// Number of events after which the connection of a stream from its beginning is reset, in the
    /// middle of the next one.
    pub reset_after: Option<usize>,
}

/// How much larger the events of a run are that goes on with a stream: it writes other words.
const RESUMED_EXTRA_BYTES: usize = 50;

/// A backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Its address.
    pub address: SocketAddr,
    stream: Stream,
    born: u64,
    log: Log,
    runs: Arc<Mutex<Vec<String>>>,
    is_leaving: Arc<AtomicBool>,
    has_exited: Arc<AtomicBool>,
    engine: Option<Engine>,
    /// Number of streams that an engine writes now.
    writing: Arc<AtomicUsize>,
}

impl Server {
    /// Starts a server.
    pub fn start(
        id: &str,
        service: &'static str,
        ip: Ipv4Addr,
        stream: Stream,
        log: &Log,
    ) -> io::Result<Self> {
        Self::start_with(id, service, ip, stream, None, log)
    }

    /// Starts an engine, which writes the more slowly the more streams it writes.
    pub fn start_engine(
        id: &str,
        service: &'static str,
        ip: Ipv4Addr,
        stream: Stream,
        engine: Engine,
        log: &Log,
    ) -> io::Result<Self> {
        Self::start_with(id, service, ip, stream, Some(engine), log)
    }

    fn start_with(
        id: &str,
        service: &'static str,
        ip: Ipv4Addr,
        stream: Stream,
        engine: Option<Engine>,
        log: &Log,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
        let server = Self {
            id: id.to_owned(),
            service,
            address: listener.local_addr()?,
            stream,
            born: born.as_millis() as u64,
            log: log.clone(),
            runs: Arc::default(),
            is_leaving: Arc::default(),
            has_exited: Arc::default(),
            engine,
            writing: Arc::default(),
        };
        let shared = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.has_exited.load(Ordering::Relaxed) {
                    return;
                }
                let server = shared.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// Returns its registration in the store.
    pub fn registration(&self, state: &str, zone: &str) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": zone,
            "version": "v1", "slots": 12, "state": state, "coldRemainingMs": 0, "seq": 1,
            "born": self.born,
        })
    }

    /// Says in all answers from now on that it is leaving.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Takes no more connections and requests.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        self.log.line(&format!("server {} exits", self.id));
    }

    /// Returns the ids of the requests that it ran, in order.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the body that it sends for a request.
    pub fn stream_of(&self, id: &str) -> String {
        (0..self.stream.events).map(|n| event(id, n, self.stream.event_bytes)).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.read_head() {
            if self.has_exited.load(Ordering::Relaxed)
                || reader.read_body(&head).is_err()
                || self.answer(&mut writer, &head).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, head: &Head) -> io::Result<()> {
        let id = head.header("x-attempt-id").unwrap_or_default();
        if head.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return writer.write_all(b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n");
        }
        self.runs.lock().unwrap().push(id.to_owned());
        self.log.line(&format!("server {} runs {id}", self.id));
        let leaving = match self.is_leaving.load(Ordering::Relaxed) {
            true => "Server-Leaving: 1\r\nConnection: close\r\n",
            false => "",
        };
        let common = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: \
             seal.{}.{id}\r\nX-Instance-Id: {}\r\n{leaving}",
            self.id, self.id
        );
        if !head.target().starts_with("/stream/") {
            std::thread::sleep(WORK);
            let body = "x".repeat(ANSWER_BYTES);
            let text = format!("{common}Content-Length: {}\r\n\r\n{body}", body.len());
            writer.write_all(text.as_bytes())?;
        } else {
            self.writing.fetch_add(1, Ordering::Relaxed);
            let sent = self.send_stream(writer, head, &common);
            self.writing.fetch_sub(1, Ordering::Relaxed);
            sent?;
        }
        self.log.line(&format!("server {} has sent its whole answer to {id}", self.id));
        Ok(())
    }
}

impl Server {
    /// Returns the time in which an engine writes an event of each stream.
    fn pass(&self, engine: Engine) -> Duration {
        let writing = self.writing.load(Ordering::Relaxed).min(engine.slots as usize);
        let step_ms = engine.step_ms + engine.per_seq_ms * writing as f64;
        Duration::from_secs_f64(step_ms * f64::from(engine.stride) / 1e3)
    }

    /// Streams the events after the one that the request names.
    fn send_stream(&self, writer: &mut TcpStream, head: &Head, common: &str) -> io::Result<()> {
        let id = head.header("x-attempt-id").unwrap_or_default();
        let last = head.header("last-event-id").and_then(|last| last.parse::<usize>().ok());
        let Stream { events, event_bytes, pause, is_sized, reset_after } = self.stream;
        let event_bytes = event_bytes + last.map_or(0, |_| RESUMED_EXTRA_BYTES);
        let pieces: Vec<String> =
            (last.map_or(0, |last| last + 1)..events).map(|n| event(id, n, event_bytes)).collect();
        let framing = match is_sized {
            true => format!("Content-Length: {}", pieces.iter().map(String::len).sum::<usize>()),
            false => "Transfer-Encoding: chunked".to_owned(),
        };
        if let Some(engine) = self.engine {
            std::thread::sleep(self.pass(engine));
        }
        let head = format!("{common}Content-Type: text/event-stream\r\n{framing}\r\n\r\n");
        writer.write_all(head.as_bytes())?;
        for (n, piece) in pieces.iter().enumerate() {
            let is_cut = last.is_none() && reset_after == Some(n);
            let piece = if is_cut { &piece[..piece.len() / 2] } else { &piece[..] };
            match is_sized {
                true => writer.write_all(piece.as_bytes())?,
                false => {
                    writer.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes())?
                }
            }
            if is_cut {
                std::thread::sleep(pause);
                self.log
                    .line(&format!("server {} resets {id} in the middle of event {n}", self.id));
                SockRef::from(&*writer).set_linger(Some(Duration::ZERO))?;
                let _ = writer.shutdown(std::net::Shutdown::Read);
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            std::thread::sleep(self.engine.map_or(pause, |engine| self.pass(engine)));
        }
        if is_sized { Ok(()) } else { writer.write_all(b"0\r\n\r\n") }
    }
}

/// Returns an event of a stream, filled up to this size.
fn event(id: &str, number: usize, bytes: usize) -> String {
    let start = format!("id: {number}\ndata: {id} ");
    let fill = bytes.saturating_sub(start.len() + 2);
    format!("{start}{}\n\n", "t".repeat(fill))
}
