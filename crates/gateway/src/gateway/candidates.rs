//! The servers that may get a request.

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;

use crate::Gateway;
use crate::fleet::Exclusion;
use crate::fleet::Server;
use crate::http::Request;
use crate::load::server_key;
use crate::placement::Candidate;
use crate::placement::needs_joint;

impl Gateway {
    /// Returns the servers that may get a request: none that has asked for a pause or has reached
    /// its rate limit. Failing servers are included only if no other is left.
    pub(super) fn candidates(
        &self,
        request: &Request,
        tried: &[runner::Id],
        now: Moment,
    ) -> Vec<Candidate> {
        let fleet = self.fleet.borrow();
        let mut usable = fleet.usable(&request.service.name);
        usable.retain(|s| !tried.contains(&s.id));
        let health = self.health.borrow();
        usable.retain(|s| self.exclusion(s, now).is_none());
        self.retain_within_limits(&mut usable, is_reserving(request), now);
        if usable.iter().any(|s| health.is_usable(&s.id, now)) {
            usable.retain(|s| health.is_usable(&s.id, now));
        }
        let ledger = self.ledger.borrow();
        let peer_loads = ledger.peer_loads(now);
        let load = |s: &Server| ledger.total_load(&s.id, peer_loads.get(&server_key(&s.id)), now);
        let paces = self.paces.borrow();
        let describe = |s: &Server| {
            let candidate = Candidate::new(s.id.clone(), load(s), s.slots);
            Candidate { pace: paces.pace(s.start_key()), ..candidate }
        };
        usable.into_iter().map(describe).collect()
    }

    /// Returns why nothing may be sent to a server now, also if it was chosen before; `None` if it
    /// may get requests.
    pub fn withheld(&self, server: &Server) -> Option<Exclusion> {
        self.exclusion(server, self.now())
    }

    fn exclusion(&self, server: &Server, now: Moment) -> Option<Exclusion> {
        if !self.backoffs.borrow().left(&server.id, now).is_zero() {
            return Some(Exclusion::Paused);
        }
        None
    }
}

/// Returns whether a request reserves memory at its servers.
fn is_reserving(request: &Request) -> bool {
    match (&request.service.engine, &request.metadata.prompt) {
        (Some(profile), Some(prompt)) => needs_joint(prompt, profile),
        _ => false,
    }
}
