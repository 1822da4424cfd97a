use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::engine::Profile;
use crate::load::Streams;
use crate::placement::Candidate;
use crate::placement::prompt::HARMLESS_PREFILL_MS;

/// Prompt tokens that add as much value as the base value of a request.
const TOKENS_PER_VALUE: f64 = 10_000.0;
/// Fraction of its value that a response loses if it is late.
pub const LATE_LOSS: f64 = 0.75;
/// Fraction of a limit up to which an expected time counts as certainly on time.
const ON_TIME_FRACTION: f64 = 0.75;
/// The same fraction for the target latency of a first event, which is harder to predict.
const FIRST_ON_TIME_FRACTION: f64 = 0.25;
/// Fraction of a limit from which an expected time counts as certainly late.
const LATE_FRACTION: f64 = 1.15;
/// Chance that a server gets a part of another prompt in the same pass, from a daemon that does not
/// know of the first.
const UNSEEN_PART_CHANCE: f64 = 0.1;

/// Returns the expected loss, from 0 to [`LATE_LOSS`], of a response that is expected after `time`
/// and is on time until `limit`.
pub fn lateness(time: f64, limit: f64) -> f64 {
    let fraction = time / limit.max(1.0);
    ((fraction - ON_TIME_FRACTION) / (LATE_FRACTION - ON_TIME_FRACTION)).clamp(0.0, 1.0) * LATE_LOSS
}

/// Returns the expected loss of a response whose first event is expected after `time`. The time is
/// less certain than the length of a pass, because other prompts may be prefilled before it.
pub fn first_lateness(time: f64, limit: f64) -> f64 {
    let fraction = time / limit.max(1.0);
    ((fraction - FIRST_ON_TIME_FRACTION) / (LATE_FRACTION - FIRST_ON_TIME_FRACTION)).clamp(0.0, 1.0)
        * LATE_LOSS
}

/// Returns the value of a response to its caller, 1 for the smallest. It grows with the prompt
/// because long prompts are expensive to retry.
pub fn request_value(prompt: Tokens) -> f64 {
    1.0 + prompt.get() as f64 / TOKENS_PER_VALUE
}

/// Fraction of the prefill work added to a server by which the first events of the prompts that
/// wait there are delayed: a prompt that several servers prefill waits only for the last of them.
const DELAY_FRACTION: f64 = 0.5;

/// Returns the expected loss of the prompts that wait at a server if it gets `part_ms` more prefill,
/// which may be prefilled before them.
pub fn waiting_loss(candidate: &Candidate, part_ms: f64) -> f64 {
    candidate.load.urgency * part_ms * candidate.pace.factor() * DELAY_FRACTION
}

/// Returns the value that a response loses with each millisecond by which its first event is
/// delayed, while it may still come in time.
pub fn first_urgency(prompt: Tokens, target_latency: Duration) -> f64 {
    let span_ms = millis(target_latency) * (LATE_FRACTION - FIRST_ON_TIME_FRACTION);
    request_value(prompt) * LATE_LOSS / span_ms.max(1.0)
}

/// Returns the length of a server's next pass if it gets `part_ms` more prefill, in milliseconds.
pub fn pass_ms(profile: &Profile, candidate: &Candidate, part_ms: f64) -> f64 {
    let load = &candidate.load;
    let sequences = f64::from(load.decoding);
    let context = Tokens::new(load.memory);
    let pass_ms = profile.decode_pass_ms(sequences, context) + load.backlog_ms + part_ms;
    pass_ms * candidate.pace.factor()
}

/// Returns the expected time to the first event of a prompt that a server prefills in `part_ms`: the
/// rest of the running pass, in which it arrives, and the whole next pass, which prefills it
/// together with what else has arrived. The backlog is estimated as if it were done continuously; up to
/// one pass more of the unanswered work may still be waiting.
pub fn first_event_ms(profile: &Profile, candidate: &Candidate, part_ms: f64) -> f64 {
    let load = &candidate.load;
    let context = Tokens::new(load.memory);
    let decode_ms = profile.decode_pass_ms(f64::from(load.decoding), context);
    let waiting_ms = load.unanswered_ms.min(load.backlog_ms + decode_ms).max(load.backlog_ms);
    let rest_ms = if load.decoding > 0 || load.unanswered_ms > 0.0 { decode_ms / 2.0 } else { 0.0 };
    (rest_ms + decode_ms + waiting_ms + part_ms) * candidate.pace.factor()
}

/// Returns the expected loss of a server's streams if it gets `part_ms` more prefill, and perhaps
/// another part in the same pass.
pub fn stream_loss(profile: &Profile, candidate: &Candidate, part_ms: f64) -> f64 {
    let before = pass_ms(profile, candidate, 0.0);
    let after = pass_ms(profile, candidate, part_ms);
    let added_loss = |s: &Streams| {
        let added = |unseen_ms: f64| {
            let lateness = |pass_ms: f64| lateness(pass_ms + unseen_ms, s.target_gap_ms);
            lateness(after) - lateness(before)
        };
        let (seen, unseen) = (added(0.0), added(HARMLESS_PREFILL_MS));
        s.value * (seen + (unseen - seen).max(0.0) * UNSEEN_PART_CHANCE)
    };
    candidate.load.streams.iter().filter(|s| s.value > 0.0).map(added_loss).sum()
}

/// Converts a duration to milliseconds.
pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
