//! Stand-in of the platform's store: lists, watches, creates and replaces objects.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http::Head;
use crate::http::Reader;

/// Path below which the kinds of objects are.
const OBJECTS: &str = "/kumquattiller/objects/";
/// Of so many writing calls the first one gets no answer while answers are lost.
const LOST_OF: usize = 3;
/// Time after which a connection without an answer is closed.
const LOST_TIME: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct State {
    /// Number of restores from an older copy.
    era: u64,
    /// Whether calls end without an answer, and new connections are closed.
    is_away: bool,
    /// Whether some writing calls are carried out and get no answer.
    loses_answers: bool,
    /// Number of writing calls since then, and of those that got no answer.
    writes: (usize, usize),
    /// Highest revision from which each kind has been watched.
    watched_from: HashMap<String, u64>,
    revision: u64,
    objects: BTreeMap<(String, String), Vec<u8>>,
    events: Vec<(u64, String, Vec<u8>)>,
}

/// Copy of what a store held.
#[derive(Debug, Clone)]
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Vec<u8>>,
}

/// The store.
#[derive(Debug, Clone)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    /// Counts a writing call; returns whether its answer is lost, as that of the first of every three.
    fn loses_answer(&mut self) -> bool {
        if !self.loses_answers {
            return false;
        }
        let is_lost = self.writes.0 % LOST_OF == 0;
        self.writes = (self.writes.0 + 1, self.writes.1 + usize::from(is_lost));
        is_lost
    }
}

impl Store {
    /// Starts an empty store.
    pub fn start(ip: Ipv4Addr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self { address: listener.local_addr()?, state: Arc::default() };
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.put_bytes(kind, name, spec.to_string().as_bytes());
    }

    /// Creates or replaces an object whose content is these bytes.
    pub fn put_bytes(&self, kind: &str, name: &str, spec: &[u8]) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let metadata = json!({
            "name": name, "revision": revision, "created": revision, "finalizers": [],
            "deletionPending": false,
        });
        let object =
            [b"{\"metadata\":", metadata.to_string().as_bytes(), b",\"spec\":", spec, b"}"]
                .concat();
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        let event = [b"{\"removed\":false,\"object\":", &object[..], b"}"].concat();
        state.events.push((revision, kind.to_owned(), event));
        changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        let event = [b"{\"removed\":true,\"object\":", &object[..], b"}"].concat();
        state.events.push((revision, kind.to_owned(), event));
        changed.notify_all();
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.state.0.lock().unwrap().revision
    }

    /// Returns the highest revision from which a kind has been watched.
    pub fn watched_from(&self, kind: &str) -> u64 {
        self.state.0.lock().unwrap().watched_from.get(kind).copied().unwrap_or_default()
    }

    /// Begins or ends an outage.
    pub fn set_away(&self, is_away: bool) {
        let (lock, changed) = &*self.state;
        lock.lock().unwrap().is_away = is_away;
        changed.notify_all();
    }

    /// Begins to carry out every third writing call without answering it, or ends that.
    pub fn set_loses_answers(&self, loses_answers: bool) {
        let mut state = self.state.0.lock().unwrap();
        state.loses_answers = loses_answers;
        state.writes = (0, 0);
    }

    /// Returns the number of writing calls since answers were lost, and of those without an answer.
    pub fn writes(&self) -> (usize, usize) {
        self.state.0.lock().unwrap().writes
    }

    /// Returns a copy of what the store holds.
    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Returns from an older copy, in a new era and without a history.
    pub fn restore(&self, copy: Copy) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.era += 1;
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.events.clear();
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.read_head() {
            let Ok(body) = reader.read_body(&head) else {
                return;
            };
            if self.state.0.lock().unwrap().is_away {
                return;
            }
            let (status, body) = self.answer(&head, &body);
            let (era, is_away, is_lost) = {
                let mut state = self.state.0.lock().unwrap();
                let is_lost = head.method() != "GET" && state.loses_answer();
                (state.era, state.is_away, is_lost)
            };
            if is_away {
                return;
            }
            if is_lost {
                std::thread::sleep(LOST_TIME);
                return;
            }
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nStore-Era: \
                 {era}\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, Vec<u8>) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let Some(rest) = path.strip_prefix(OBJECTS) else {
            return ("404 Not Found", b"{}".to_vec());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        match (head.method(), name) {
            ("GET", None) => match query.get("watch").and_then(|v| v.parse().ok()) {
                Some(from) => {
                    let wait = query.get("waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
                    self.watch(kind, from, Duration::from_millis(wait))
                }
                None => ("200 OK", self.list(kind, query.get("after").copied().unwrap_or(""))),
            },
            ("GET", Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                match self.state.0.lock().unwrap().objects.get(&key) {
                    Some(object) => ("200 OK", object.clone()),
                    None => ("404 Not Found", b"{}".to_vec()),
                }
            }
            ("POST", None) => self.create(kind, body),
            ("PUT", Some(name)) => {
                let object: Value = serde_json::from_slice(body).unwrap_or_default();
                self.put(kind, name, &object["spec"]);
                ("200 OK", b"{}".to_vec())
            }
            _ => ("400 Bad Request", b"{}".to_vec()),
        }
    }

    fn create(&self, kind: &str, body: &[u8]) -> (&'static str, Vec<u8>) {
        let object: Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(name) = object["metadata"]["name"].as_str() else {
            return ("400 Bad Request", b"{}".to_vec());
        };
        let key = (kind.to_owned(), name.to_owned());
        if self.state.0.lock().unwrap().objects.contains_key(&key) {
            return ("409 Conflict", b"{}".to_vec());
        }
        self.put(kind, name, &object["spec"]);
        ("200 OK", b"{}".to_vec())
    }

    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let is_next = |(k, name): &&(String, String)| k == kind && name.as_str() > after;
        let keys = state.objects.keys().filter(is_next);
        let items: Vec<Vec<u8>> = keys.map(|key| state.objects[key].clone()).collect();
        let end = format!("],\"morePages\":false,\"currentRev\":{}}}", state.revision);
        [b"{\"items\":[", &items.join(&b","[..])[..], end.as_bytes()].concat()
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (&'static str, Vec<u8>) {
        let (lock, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = lock.lock().unwrap();
        let era = state.era;
        let watched_from = state.watched_from.entry(kind.to_owned()).or_default();
        *watched_from = from.max(*watched_from);
        loop {
            if state.is_away || from > state.revision || era != state.era {
                return ("410 Gone", b"{}".to_vec());
            }
            let is_new = |(at, k, _): &&(u64, String, Vec<u8>)| *at > from && k == kind;
            let events: Vec<Vec<u8>> =
                state.events.iter().filter(is_new).map(|(_, _, e)| e.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let end = format!("],\"currentRev\":{}}}", state.revision);
                let body = [b"{\"events\":[", &events.join(&b","[..])[..], end.as_bytes()].concat();
                return ("200 OK", body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
