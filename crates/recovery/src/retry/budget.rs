/// Cost of one retry, in thousandths.
const RETRY_COST: u64 = 1_000;
/// What one success adds, in thousandths of a retry.
const SUCCESS_GAIN: u64 = 100;
/// Most retries that a budget holds, in thousandths.
const LIMIT: u64 = 20_000;

/// The retries that an entry daemon may still make.
///
/// It starts full. Over any span the retries are at most a tenth of the successes, plus
/// [`Budget::LIMIT`].
#[derive(Debug, Clone)]
pub struct Budget {
    thousandths: u64,
}

impl Budget {
    /// Most retries without a success between them.
    pub const LIMIT: u64 = LIMIT / RETRY_COST;

    /// Adds for a request that ended with its whole answer.
    pub fn succeed(&mut self) {
        self.thousandths = (self.thousandths + SUCCESS_GAIN).min(LIMIT);
    }

    /// Takes one retry; returns false when none is left.
    pub const fn withdraw(&mut self) -> bool {
        if self.thousandths < RETRY_COST {
            return false;
        }
        self.thousandths -= RETRY_COST;
        true
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self { thousandths: LIMIT }
    }
}
