use crate::placement::Candidate;
use crate::placement::Declined;
use crate::placement::Placement;
use crate::placement::Reason;

/// Chooses the server of a plain service that has the fewest requests for its slots.
///
/// Answers many short calls of equal weight, where the server's queue is what delays them. `draw`
/// is uniform in 0..1 and breaks ties, so that daemons that see the same loads do not all choose
/// the same server.
///
/// # Errors
///
/// Fails where there is no server.
pub fn place_plain(candidates: &[Candidate], draw: f64) -> Result<Placement, Declined> {
    let share = |c: &Candidate| f64::from(c.load.requests) / f64::from(c.slots.max(1));
    let least = candidates.iter().map(share).min_by(f64::total_cmp).ok_or(Declined::NoServer)?;
    let tied: Vec<&Candidate> = candidates.iter().filter(|c| share(c) <= least).collect();
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
