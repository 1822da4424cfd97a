/// The part of an answer that the caller has, against which a further attempt is compared.
///
/// Engines need not give the same text twice. An answer begun on one engine is therefore continued
/// by another attempt only as long as that attempt repeats every byte that was delivered.
#[derive(Debug, Default)]
pub struct Replay {
    delivered: Vec<u8>,
    compared: usize,
}

/// The further attempt gave another text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mismatch;

impl Replay {
    /// Begins to compare a further attempt from its first byte.
    pub const fn restart(&mut self) {
        self.compared = 0;
    }

    /// Takes the next piece of the present attempt; returns what the caller does not have yet.
    ///
    /// # Errors
    ///
    /// Fails when the piece differs from what was delivered.
    pub fn take<'a>(&mut self, piece: &'a [u8]) -> Result<&'a [u8], Mismatch> {
        let known = &self.delivered[self.compared..];
        let length = known.len().min(piece.len());
        if known[..length] != piece[..length] {
            return Err(Mismatch);
        }
        let rest = &piece[length..];
        self.delivered.extend_from_slice(rest);
        self.compared += piece.len();
        Ok(rest)
    }

    /// Tells whether the present attempt has reached what was delivered.
    pub const fn is_caught_up(&self) -> bool {
        self.compared == self.delivered.len()
    }

    /// Tells whether the caller has nothing.
    pub const fn is_empty(&self) -> bool {
        self.delivered.is_empty()
    }
}
