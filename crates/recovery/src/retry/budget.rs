/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;
/// Amount that one successful request adds, in thousandths of a retry.
const SUCCESS_GAIN: u64 = 100;
/// Capacity of a budget, in thousandths of a retry.
const CAPACITY: u64 = 20_000;

/// Limits the retries of an entry daemon in proportion to its successful requests.
///
/// The budget starts full. In any time span, the number of retries is at most a tenth of the number
/// of successful requests, plus [`Budget::LIMIT`].
#[derive(Debug, Clone)]
pub struct Budget {
    /// Retries left, in thousandths.
    thousandths: u64,
}

impl Budget {
    /// Maximum number of retries without a successful request between them.
    pub const LIMIT: u64 = CAPACITY / RETRY_COST;

    /// Credits the budget for a request that received its complete response.
    pub fn deposit(&mut self) {
        self.thousandths = (self.thousandths + SUCCESS_GAIN).min(CAPACITY);
    }

    /// Withdraws one retry; returns false if the budget is exhausted.
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
        Self { thousandths: CAPACITY }
    }
}
