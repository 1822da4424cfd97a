/// Compares the output of a later attempt with what was already delivered to the caller.
///
/// Engines may generate different text for the same request. Another attempt therefore continues a
/// response only if it first reproduces every byte that was delivered.
#[derive(Debug, Default)]
pub struct Replay {
    delivered: Vec<u8>,
    /// Bytes of the current attempt that were compared or delivered so far.
    position: usize,
}

/// A later attempt produced output that differs from what was delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mismatch;

impl Replay {
    /// Starts comparing a new attempt from its first byte.
    pub const fn restart(&mut self) {
        self.position = 0;
    }

    /// Consumes the next chunk of the current attempt; returns the bytes not delivered before.
    ///
    /// # Errors
    ///
    /// Returns an error if the chunk differs from what was delivered.
    pub fn advance<'a>(&mut self, chunk: &'a [u8]) -> Result<&'a [u8], Mismatch> {
        let expected = &self.delivered[self.position..];
        let length = expected.len().min(chunk.len());
        if expected[..length] != chunk[..length] {
            return Err(Mismatch);
        }
        let new_bytes = &chunk[length..];
        self.delivered.extend_from_slice(new_bytes);
        self.position += chunk.len();
        Ok(new_bytes)
    }

    /// Returns whether the current attempt has reproduced everything that was delivered.
    pub const fn is_caught_up(&self) -> bool {
        self.position == self.delivered.len()
    }

    /// Returns whether nothing was delivered to the caller yet.
    pub const fn is_empty(&self) -> bool {
        self.delivered.is_empty()
    }
}
