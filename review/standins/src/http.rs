//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::io;
use std::io::Read;

/// A message without its body.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line.
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Returns path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response, zero if it has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_default()
    }
}

/// Reads messages from a connection.
#[derive(Debug)]
pub struct Reader<S> {
    stream: S,
    buffer: Vec<u8>,
}

impl<S: Read> Reader<S> {
    /// Creates a reader.
    pub fn new(stream: S) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads a head; returns `None` if the connection is closed before one begins.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..at + 4).collect();
                return Ok(Some(parse_head(&String::from_utf8_lossy(&bytes))));
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads the body that belongs to a head: sized, chunked or none.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            return self.read_chunks();
        }
        let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.take(length)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            body.extend(self.take(size)?);
            self.read_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..at]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Head { first_line, headers }
}
