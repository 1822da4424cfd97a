use kumquattiller_base::fingerprint::Fingerprint;

/// Something about a request that may crash servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Feature {
    /// Identity, equal at all daemons.
    pub fingerprint: Fingerprint,
    /// Position of the part in the prompt, and a higher number for the whole request. The deeper of
    /// two features that always occur together is the more specific one.
    pub depth: u32,
}

impl Feature {
    /// Depth of a whole request.
    const WHOLE: u32 = u32::MAX;

    /// Returns the features of a request with this fingerprint and these shared parts of its prompt.
    pub fn of_request(request: Fingerprint, shared_parts: &[Fingerprint]) -> Vec<Self> {
        let part = |(depth, part): (u32, &Fingerprint)| Self { fingerprint: *part, depth };
        let whole = Self { fingerprint: request, depth: Self::WHOLE };
        (0..).zip(shared_parts).map(part).chain([whole]).collect()
    }

    /// Returns whether this is a whole request.
    pub const fn is_whole(&self) -> bool {
        self.depth == Self::WHOLE
    }
}
