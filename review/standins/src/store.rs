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

const OBJECTS: &str = "/kumquattiller/objects/";

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Vec<u8>>,
    events: Vec<(u64, String, Vec<u8>)>,
}

/// The store.
#[derive(Debug, Clone)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
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
            [b"{\"metadata\":", metadata.to_string().as_bytes(), b",\"spec\":", spec, b"}"].concat();
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        let event = [b"{\"removed\":false,\"object\":", &object[..], b"}"].concat();
        state.events.push((revision, kind.to_owned(), event));
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
            let (status, body) = self.answer(&head, &body);
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, Vec<u8>) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
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
                    ("200 OK", self.watch(kind, from, Duration::from_millis(wait)))
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

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> Vec<u8> {
        let (lock, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = lock.lock().unwrap();
        loop {
            let is_new = |(at, k, _): &&(u64, String, Vec<u8>)| *at > from && k == kind;
            let events: Vec<Vec<u8>> =
                state.events.iter().filter(is_new).map(|(_, _, e)| e.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let end = format!("],\"currentRev\":{}}}", state.revision);
                return [b"{\"events\":[", &events.join(&b","[..])[..], end.as_bytes()].concat();
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
