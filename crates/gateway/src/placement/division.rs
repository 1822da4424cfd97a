use crate::load::Demand;
use crate::placement::Candidate;

/// Fraction of a server's slots that interactive streams may fill before another server is added to
/// the short division.
const SHORT_SLOT_FRACTION: f64 = 0.7;
/// Typical time from the arrival of a short prompt to the end of its stream, in seconds.
const SHORT_STREAM_S: f64 = 1.2;

/// The servers of a service, divided between long and short prompts.
///
/// The prefill of a long prompt delays interactive streams on the same server, and the mix of long
/// and short prompts changes within seconds. Interactive streams hardly delay one another, so they
/// are packed onto as few servers as they need. The other servers stay free of them, and a burst of
/// long prompts can run there without delaying any interactive stream.
#[derive(Debug, Clone)]
pub struct Division<'a> {
    /// Servers for long prompts, by ascending rank.
    pub long: Vec<&'a Candidate>,
    /// Servers for short prompts.
    pub short: Vec<&'a Candidate>,
}

impl<'a> Division<'a> {
    /// Divides the servers according to the demand.
    pub fn of(candidates: &'a [Candidate], demand: &Demand) -> Self {
        let mut ranked: Vec<&Candidate> = candidates.iter().collect();
        ranked.sort_by_key(|c| c.rank);
        let long = ranked.len() - short_server_count(&ranked, demand).min(ranked.len());
        let short = ranked.split_off(long);
        Self { long: ranked, short }
    }
}

/// Returns how many servers the interactive streams need: at least one if there are two or more
/// servers, and never all of them.
fn short_server_count(candidates: &[&Candidate], demand: &Demand) -> usize {
    if candidates.len() < 2 {
        return 0;
    }
    let interactive: u32 = candidates.iter().map(|c| c.load.interactive).sum();
    let slots: u32 = candidates.iter().map(|c| c.slots).sum();
    let streams_per_server = f64::from(slots) / candidates.len() as f64 * SHORT_SLOT_FRACTION;
    let streams = f64::from(interactive).max(demand.short_per_s * SHORT_STREAM_S);
    ((streams / streams_per_server.max(1.0)).ceil() as usize).clamp(1, candidates.len() - 1)
}
