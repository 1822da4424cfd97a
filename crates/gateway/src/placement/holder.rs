use crate::placement::Candidate;
use crate::placement::Placement;
use crate::placement::Reason;
use crate::placement::Request;
use crate::placement::prompt::participant_cost;

/// Returns the placement of a whole long prompt on a server that still holds its beginning, and its
/// cost. Helpers would compute their parts anew, so that splitting the prompt would save nothing.
pub(super) fn place_at_holder(request: &Request<'_>, holder: &Candidate) -> (Placement, f64) {
    let part_ms = request.prefill_ms_at(holder);
    let first_ms = holder.part_end_ms(part_ms);
    let cost = request.wait_cost(first_ms)
        + request.cost(holder, part_ms)
        + participant_cost(request, holder, part_ms);
    let placement = Placement {
        server: holder.id.clone(),
        helpers: Vec::new(),
        holders: Vec::new(),
        part_ms,
        first_ms,
        reason: Reason::HeldPrefix,
    };
    (placement, cost)
}
