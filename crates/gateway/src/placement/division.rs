use crate::load::Demand;
use crate::placement::Candidate;

/// Part of a server's slots that streams with short pauses fill at most when the division moves.
const SHORT_SLOT_FRACTION: f64 = 0.7;
/// Usual time from the arrival of a short prompt to the end of its stream, in seconds.
const SHORT_STREAM_S: f64 = 1.2;

/// The servers of a service, divided between long and short prompts.
///
/// Reading a long prompt beside a stream with short pauses makes that stream late. The load turns
/// between mostly short and mostly long prompts within seconds. Streams with short pauses do
/// little harm to one another, so they get as many servers as they fill, and all others stay free
/// of them: a burst of long prompts then finds servers that it harms nobody at.
#[derive(Debug, Clone)]
pub struct Division<'a> {
    /// Servers for long prompts, first those that are taken first.
    pub long: Vec<&'a Candidate>,
    /// Servers for short prompts.
    pub short: Vec<&'a Candidate>,
}

impl<'a> Division<'a> {
    /// Divides the servers.
    pub fn of(candidates: &'a [Candidate], demand: &Demand) -> Self {
        let mut ranked: Vec<&Candidate> = candidates.iter().collect();
        ranked.sort_by_key(|c| c.rank);
        let long = ranked.len() - short_servers_needed(&ranked, demand).min(ranked.len());
        let short = ranked.split_off(long);
        Self { long: ranked, short }
    }
}

/// Returns how many servers the streams with short pauses need, one at least where there are two.
fn short_servers_needed(candidates: &[&Candidate], demand: &Demand) -> usize {
    if candidates.len() < 2 {
        return 0;
    }
    let interactive: u32 = candidates.iter().map(|c| c.load.interactive).sum();
    let slots: u32 = candidates.iter().map(|c| c.slots).sum();
    let room = f64::from(slots) / candidates.len() as f64 * SHORT_SLOT_FRACTION;
    let streams = f64::from(interactive).max(demand.short_per_s * SHORT_STREAM_S);
    ((streams / room.max(1.0)).ceil() as usize).clamp(1, candidates.len() - 1)
}
