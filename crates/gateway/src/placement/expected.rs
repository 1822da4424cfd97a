use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::dialect::Prompt;
use crate::engine::Profile;
use crate::load::Load;
use crate::pace::Pace;

/// Returns the expected time until the longest response to a prompt is complete, whose prefill takes
/// `first_ms` on a server with this load and pace, the prompt not included.
///
/// Each step is as long as with all requests that are there now, those that wait included.
pub fn expected_response(
    prompt: &Prompt,
    profile: &Profile,
    load: &Load,
    pace: Pace,
    first_ms: f64,
) -> Duration {
    let sequences = load.requests.saturating_add(1).min(profile.slots);
    let own = prompt.tokens.saturating_add(prompt.max_output);
    let context = Tokens::new(load.memory).saturating_add(own);
    let step_ms = profile.step_ms_with(f64::from(sequences), context);
    let decode_ms = prompt.max_output.get() as f64 * step_ms * pace.factor();
    let seconds = (first_ms + decode_ms) / 1e3;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
