use crate::placement::Candidate;
use crate::placement::Declined;
use crate::placement::Placement;
use crate::placement::Reason;

/// Places a request of a plain service on the server with the fewest requests per slot.
///
/// This suits many short calls of similar cost, which are delayed mainly by the server's queue.
/// `draw` is a uniform random number in 0..1 that breaks ties, so that daemons that see the same
/// loads do not all choose the same server. The cost of a slow start counts as requests per slot.
///
/// # Errors
///
/// Returns [`Declined::NoServer`] if there are no candidates.
pub fn place_plain(candidates: &[Candidate], draw: f64) -> Result<Placement, Declined> {
    let requests_per_slot =
        |c: &Candidate| f64::from(c.load.requests) / f64::from(c.slots.max(1)) + c.ramp_cost;
    let lowest = candidates
        .iter()
        .map(requests_per_slot)
        .min_by(f64::total_cmp)
        .ok_or(Declined::NoServer)?;
    let tied: Vec<&Candidate> =
        candidates.iter().filter(|c| requests_per_slot(c) <= lowest).collect();
    let index = (draw * tied.len() as f64) as usize;
    let chosen = tied.get(index).or(tied.last()).ok_or(Declined::NoServer)?;
    Ok(Placement {
        server: chosen.id.clone(),
        helpers: Vec::new(),
        holders: Vec::new(),
        part_ms: 0.0,
        first_ms: 0.0,
        reason: Reason::FewestRequests,
    })
}
