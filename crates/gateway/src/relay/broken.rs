/// A stream cannot be finished; the caller's connection closes without the end of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream broke off and cannot go on")
    }
}

impl std::error::Error for Broken {}
