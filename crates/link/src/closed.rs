/// Error for a frame that cannot be sent because the link is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the link is closed")
    }
}

impl std::error::Error for Closed {}
