//! A limit on the bytes that a server sends before the head of its response is complete.
//!
//! HTTP allows any number of informational responses before the final one. A server that sends them
//! without end would keep the daemon's thread busy until the request times out.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Most bytes that a server may send before the head is complete. The last ones may belong to the
/// body already.
const MAX_BYTES: usize = 1024 * 1024;

/// The bytes that may still arrive before the head of the response, shared by a connection and its
/// stream; `None` while no head is awaited.
#[derive(Debug, Clone, Default)]
pub struct Allowance(Rc<Cell<Option<usize>>>);

impl Allowance {
    /// Begins to count, since a request is sent.
    pub fn await_head(&self) {
        self.0.set(Some(MAX_BYTES));
    }

    /// Ends counting, since the head has arrived.
    pub fn end(&self) {
        self.0.set(None);
    }

    /// Counts bytes that have arrived; returns whether they are allowed.
    fn count(&self, bytes: usize) -> bool {
        let Some(left) = self.0.get() else {
            return true;
        };
        self.0.set(Some(left.saturating_sub(bytes)));
        bytes <= left
    }
}

/// A stream that fails if too much arrives before the head of a response.
#[derive(Debug)]
pub struct Limited<S> {
    stream: S,
    allowance: Allowance,
}

impl<S> Limited<S> {
    /// Limits a stream by an allowance.
    pub const fn new(stream: S, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if !self.allowance.count(buffer.filled().len() - before) {
            let reason = "too many bytes before the head of a response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Limited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
