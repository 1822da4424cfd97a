use crate::rate_limit::MAX_SEND_DELAY;
use crate::rate_limit::Rate;
use crate::settings::ColdBound;

/// Fraction of the bound that is divided. The remainder is for daemons that are not in every list
/// of the daemons yet.
const DIVIDED_FRACTION: f64 = 0.85;
/// Keeps what a share adds in one window strictly below one more request.
const STRICTLY_BELOW: f64 = 0.99;

/// How the rate of a cold server is divided between daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Division {
    /// Number of daemons that may send to the server.
    pub sharers: usize,
    /// The share of each of them; `None` if the bound is below one request a second.
    pub share: Option<Rate>,
}

impl Division {
    /// Divides a rate between `daemons`, so that no window of one second has more requests than
    /// `bound` allows, also if all sharers have saved a request.
    pub fn of(rate: Rate, bound: ColdBound, daemons: usize) -> Self {
        let allowed = bound.requests(rate);
        let divided = ((allowed as f64 * DIVIDED_FRACTION) as usize).max(allowed.min(1));
        let sharers = divided.min(daemons.max(1));
        if sharers == 0 {
            return Self { sharers, share: None };
        }
        let in_window = (divided / sharers) as f64;
        let most = in_window * STRICTLY_BELOW / (1.0 + MAX_SEND_DELAY.as_secs_f64());
        Self { sharers, share: Some(rate.divided_by(sharers).at_most(most)) }
    }
}
