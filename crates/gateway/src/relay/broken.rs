/// A stream that cannot be completed. The caller's connection is closed before the end of the
/// response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("stream was interrupted and cannot be resumed")
    }
}

impl std::error::Error for Broken {}
