use std::time::Duration;

/// How much longer a server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStatement {
    /// How much longer; zero if it is warm.
    pub left: Duration,
    /// Time since the statement.
    pub age: Duration,
}

impl ColdStatement {
    /// Returns a statement that is made now.
    pub const fn now(left: Duration) -> Self {
        Self { left, age: Duration::ZERO }
    }
}
