use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::relay::Broken;
use crate::unread::Key;
use crate::unread::Memory;
use crate::unread::memory::Response;
use crate::unread::queue::memory_of;

/// The body of a response to a caller.
#[derive(Debug)]
pub struct Body {
    memory: Rc<Memory>,
    key: Key,
    response: Response,
    /// Number of bytes that are left, if it is known.
    left: Option<u64>,
    has_failed: bool,
}

impl Body {
    pub(super) const fn new(memory: Rc<Memory>, key: Key, response: Response) -> Self {
        Self { memory, key, response, left: None, has_failed: false }
    }

    /// States the length of the body.
    pub(super) const fn set_length(&mut self, length: u64) {
        self.left = Some(length);
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if self.has_failed {
            return Poll::Ready(None);
        }
        let mut queue = self.response.queue.borrow_mut();
        if let Some(piece) = queue.pop() {
            drop(queue);
            self.memory.take(self.key, memory_of(&piece));
            self.left = self.left.map(|left| left.saturating_sub(piece.len() as u64));
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        match queue.ending() {
            Some(Ok(())) => Poll::Ready(None),
            Some(Err(broken)) => {
                drop(queue);
                self.has_failed = true;
                Poll::Ready(Some(Err(broken)))
            }
            None => {
                queue.set_reader(context.waker());
                Poll::Pending
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.memory.close(self.key);
    }
}
