/// Number of a response; a later response has a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(u64);

impl Key {
    /// The first response.
    pub const FIRST: Self = Self(0);

    /// Returns the number of the next response.
    pub const fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}
