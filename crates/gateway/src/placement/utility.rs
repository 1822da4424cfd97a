use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::engine::Profile;
use crate::load::Streams;
use crate::placement::Candidate;

/// Tokens of a prompt that are worth as much to its caller as any request at all.
const TOKENS_PER_UNIT: f64 = 10_000.0;
/// Part of its worth that an answer loses when it is late.
const LATE_LOSS: f64 = 0.75;
/// Part of a limit from which a time may turn out late.
const SURE_FRACTION: f64 = 0.75;
/// Part of its aim from which a first event may turn out late.
const FIRST_SURE_FRACTION: f64 = 0.25;
/// Part of a limit from which a time is taken as late.
const LATE_FRACTION: f64 = 1.15;

/// Returns the expected loss, 0 to [`LATE_LOSS`], of an answer that is expected at `time` where
/// `limit` is on time.
pub fn lateness(time: f64, limit: f64) -> f64 {
    let part = time / limit.max(1.0);
    ((part - SURE_FRACTION) / (LATE_FRACTION - SURE_FRACTION)).clamp(0.0, 1.0) * LATE_LOSS
}

/// Returns the expected loss of an answer whose first event is expected at `time`: what else the
/// servers read until then is known less well than the length of a pass.
pub fn first_lateness(time: f64, limit: f64) -> f64 {
    let part = time / limit.max(1.0);
    ((part - FIRST_SURE_FRACTION) / (LATE_FRACTION - FIRST_SURE_FRACTION)).clamp(0.0, 1.0)
        * LATE_LOSS
}

/// Returns what an answer is worth to its caller, 1 for the smallest: long prompts are work that
/// is not easily asked again.
pub fn request_value(prompt: Tokens) -> f64 {
    1.0 + prompt.get() as f64 / TOKENS_PER_UNIT
}

/// Returns the length of the next pass of a server that reads `part_ms` more, in milliseconds.
pub fn pass_ms(profile: &Profile, candidate: &Candidate, part_ms: f64) -> f64 {
    let load = &candidate.load;
    let sequences = f64::from(load.decoding);
    let context = Tokens::new(load.memory);
    profile.decode_pass_ms(sequences, context) + load.backlog_ms + part_ms
}

/// Returns what the streams of a server lose when it reads `part_ms` more.
pub fn stream_loss(profile: &Profile, candidate: &Candidate, part_ms: f64) -> f64 {
    let before = pass_ms(profile, candidate, 0.0);
    let after = pass_ms(profile, candidate, part_ms);
    let added = |s: &Streams| {
        s.value * (lateness(after, s.target_gap_ms) - lateness(before, s.target_gap_ms))
    };
    candidate.load.streams.iter().filter(|s| s.value > 0.0).map(added).sum()
}

/// Returns a time in milliseconds.
pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
