//! Clients of the deployment.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::http::Head;
use crate::http::Reader;

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// A valid API key.
pub const KEY: &str = "key-of-family";

/// Result of a request, as the client sees it.
#[derive(Debug)]
pub enum Outcome {
    /// A whole answer.
    Answered(Head, Vec<u8>),
    /// The connection ended without a whole answer.
    Cut(io::Error),
}

/// A connection of a client, which is kept open.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    reader: Reader<TcpStream>,
}

impl Client {
    /// Connects with a receive buffer of this size, if one is given.
    pub fn connect(address: SocketAddr, buffer: Option<usize>) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        if let Some(size) = buffer {
            socket.set_recv_buffer_size(size)?;
        }
        socket.connect(&address.into())?;
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let reader = Reader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request; `headers` are further lines, each with its end.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<()> {
        let Request { path, id, deadline_ms, headers, body } = request;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: \
             {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }

    /// Reads a whole answer; `pause` is the time between its head and the rest.
    pub fn receive(&mut self, pause: Duration) -> Outcome {
        let mut receive = || {
            let head = self.reader.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            std::thread::sleep(pause);
            let body = self.reader.read_body(&head)?;
            Ok((head, body))
        };
        match receive() {
            Ok((head, body)) => Outcome::Answered(head, body),
            Err(error) => Outcome::Cut(error),
        }
    }
}

/// A request of a client.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Path and query.
    pub path: &'a str,
    /// Id of the attempt.
    pub id: &'a str,
    /// Time that the client waits.
    pub deadline_ms: u64,
    /// Further headers, each with its line end.
    pub headers: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// Returns the status of a simple GET request, if it is answered within a second.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split(' ').nth(1)?.parse().ok()
}
