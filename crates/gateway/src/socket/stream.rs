use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::socket::Report;

/// A TCP connection that a [`Table`](crate::socket::Table) looks at while it is open.
#[derive(Debug)]
pub struct Stream(Rc<Socket>);

/// The part of a connection that its table shares.
#[derive(Debug)]
pub(super) struct Socket {
    /// The connection; `None` once it is closed.
    stream: RefCell<Option<TcpStream>>,
    /// Whether data was written since the table last looked.
    is_written: Cell<bool>,
    /// Whether the writer has closed its direction, so that only the delivery is left.
    is_finished: Cell<bool>,
    /// Whether nobody reads or writes any more.
    is_released: Cell<bool>,
}

impl Stream {
    pub(super) const fn new(socket: Rc<Socket>) -> Self {
        Self(socket)
    }

    fn poll<T>(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match &mut *self.0.stream.borrow_mut() {
            Some(stream) => poll(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

impl Drop for Stream {
    /// Closes the connection at once, unless its last data is still to be delivered.
    fn drop(&mut self) {
        self.0.is_released.set(true);
        if !self.0.is_finished.get() {
            self.0.close();
        }
    }
}

impl Socket {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: RefCell::new(Some(stream)),
            is_written: Cell::new(false),
            is_finished: Cell::new(false),
            is_released: Cell::new(false),
        }
    }

    /// Returns whether data was written since the last call.
    pub fn take_written(&self) -> bool {
        self.is_written.take()
    }

    /// Returns whether nobody reads or writes any more, so that only the delivery is left.
    pub const fn is_released(&self) -> bool {
        self.is_released.get()
    }

    /// Returns whether the connection is open.
    pub fn is_open(&self) -> bool {
        self.stream.borrow().is_some()
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.stream.borrow_mut().take();
    }

    /// Returns what the system knows of the data that was sent.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed or the system has no report on it.
    pub fn report(&self) -> io::Result<Report> {
        let stream = self.stream.borrow();
        Report::read(stream.as_ref().ok_or(io::ErrorKind::NotConnected)?)
    }

    /// Sets for how long the system waits for the peer to take data.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed or the system refuses.
    pub fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        let stream = self.stream.borrow();
        let socket = SockRef::from(stream.as_ref().ok_or(io::ErrorKind::NotConnected)?);
        socket.set_tcp_user_timeout(Some(timeout))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll(|stream| stream.poll_read(context, buffer))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.is_written.set(true);
        self.poll(|stream| stream.poll_write(context, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.is_finished.set(true);
        self.poll(|stream| stream.poll_shutdown(context))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.is_written.set(true);
        self.poll(|stream| stream.poll_write_vectored(context, bytes))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().as_ref().is_some_and(AsyncWrite::is_write_vectored)
    }
}
