use crate::newtype::number;

number!(
    /// Number of an attempt among the attempts of one request, counted from 1.
    Number(u32),
    ""
);

impl Number {
    /// The first attempt.
    pub const FIRST: Self = Self::new(1);

    /// Returns the number of the attempt after this one.
    pub const fn next(self) -> Self {
        self.saturating_add(Self::new(1))
    }
}
