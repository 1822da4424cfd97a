use crate::placement::utility;

/// Largest cost to other requests, as a fraction of the prompt's own gain. It is below 1 because
/// the estimate does not cover all later requests that find the servers busy with this prompt.
const MAX_COST_FRACTION: f64 = 0.85;

/// How much a prompt that exceeds the memory of one engine may cost other requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CostBound {
    /// A part of its gain, and this fraction of what the prompt loses if it is served late instead.
    /// The fraction is 0 for a prompt that can still wait.
    Gain(f64),
    /// No bound: it was refused before and would be refused for good.
    Unlimited,
}

impl CostBound {
    /// The bound for a prompt that has just arrived.
    pub const USUAL: Self = Self::Gain(0.0);

    /// Returns whether a prompt with this gain and this full value may cost others so much.
    pub fn allows(self, others: f64, gain: f64, value: f64) -> bool {
        match self {
            Self::Gain(fraction) => {
                let late_gain = value * (1.0 - utility::LATE_LOSS);
                others <= gain * MAX_COST_FRACTION + (gain - late_gain).max(0.0) * fraction
            }
            Self::Unlimited => true,
        }
    }
}
