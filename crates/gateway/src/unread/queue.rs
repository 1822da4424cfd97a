use std::collections::VecDeque;
use std::task::Waker;

use bytes::Bytes;
use kumquattiller_base::size;

use crate::relay::Broken;
use crate::unread::PIECE_BYTES;

/// Memory that a piece needs besides its bytes.
const PIECE_OVERHEAD: usize = 64;

/// The unread part of one response.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Id of the request, for the log.
    pub id: String,
    pieces: VecDeque<Bytes>,
    /// How the response ends after its last piece; `None` while it is being received.
    end: Option<Result<(), Broken>>,
    /// Whether the daemon cut it off.
    pub is_cut_off: bool,
    reader: Option<Waker>,
}

impl Queue {
    /// Creates the queue of a response without bytes.
    pub fn new(id: &str) -> Self {
        Self { id: id.to_owned(), ..Self::default() }
    }

    /// Appends bytes, in pieces of limited size; returns the memory that they take. They are copied,
    /// since a piece that shares its memory with others would keep all of it.
    pub fn push(&mut self, bytes: &[u8]) -> size::Bytes {
        let mut taken = size::Bytes::ZERO;
        for piece in bytes.chunks(PIECE_BYTES).map(Bytes::copy_from_slice) {
            taken = taken.saturating_add(memory_of(&piece));
            self.pieces.push_back(piece);
        }
        self.wake_reader();
        taken
    }

    /// Removes and returns the next piece.
    pub fn pop(&mut self) -> Option<Bytes> {
        self.pieces.pop_front()
    }

    /// Sets how the response ends, unless it has ended.
    pub fn end(&mut self, end: Result<(), Broken>) {
        self.end.get_or_insert(end);
        self.wake_reader();
    }

    /// Returns how the response ends, once it is known.
    pub const fn ending(&self) -> Option<Result<(), Broken>> {
        self.end
    }

    /// Discards all pieces and ends the response before its end.
    pub fn cut_off(&mut self) {
        self.pieces = VecDeque::new();
        self.end = Some(Err(Broken));
        self.is_cut_off = true;
        self.wake_reader();
    }

    /// Sets whom to wake when there is more to read.
    pub fn set_reader(&mut self, reader: &Waker) {
        self.reader = Some(reader.clone());
    }

    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// Returns the memory that a piece takes.
pub(super) const fn memory_of(piece: &Bytes) -> size::Bytes {
    size::Bytes::new((piece.len() + PIECE_OVERHEAD) as u64)
}
