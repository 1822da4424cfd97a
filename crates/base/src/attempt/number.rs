use crate::newtype::number;

number!(
    /// Counts the attempts of one request, from 1.
    Number(u32),
    ""
);

impl Number {
    /// The first attempt.
    pub const FIRST: Self = Self::new(1);

    /// Returns the next number.
    pub const fn next(self) -> Self {
        self.saturating_add(Self::new(1))
    }
}
