use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::size::Tokens;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// By what a request is recognised when it returns, equal at all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity(u64);

impl Identity {
    /// Computes the identity of a request. The size of the prompt is part of it, since the bodies of
    /// two requests may be equal where the prompt is described in the head.
    pub fn of(fingerprint: Fingerprint, prompt: Tokens) -> Self {
        Self(xxh3_64_with_seed(&fingerprint.get().to_le_bytes(), prompt.get()))
    }

    /// Creates an identity from a number received in a report.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the identity as a plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for Identity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for Identity {
    type Err = std::num::ParseIntError;

    /// Parses a hexadecimal number, as `Display` writes it.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a hexadecimal number.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
