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
use crate::placement::ramp_cost;

impl Gateway {
    /// Returns the servers that may get a request. Excluded are servers outside its regions or in an
    /// evacuated zone, cold ones and those that have asked for a pause or have reached their rate
    /// limit. Failing servers are included only if no other is left.
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
        usable.retain(|s| self.is_in_region(request, s) && self.exclusion(s, now).is_none());
        self.retain_within_limits(&mut usable, is_reserving(request), now);
        if usable.iter().any(|s| health.is_usable(&s.id, now)) {
            usable.retain(|s| health.is_usable(&s.id, now));
        }
        let ledger = self.ledger.borrow();
        let peer_loads = ledger.peer_loads(now);
        let load = |s: &Server| ledger.total_load(&s.id, peer_loads.get(&server_key(&s.id)), now);
        let (starts, paces) = (self.starts.borrow(), self.paces.borrow());
        let ramp = |s: &Server, requests: u32| {
            starts.age(&s.id, now).map_or(0.0, |age| ramp_cost(age, requests, s.slots))
        };
        let describe = |s: &Server| {
            let load = load(s);
            let ramp_cost = ramp(s, load.requests);
            let pace = paces.pace(s.start_key());
            Candidate { ramp_cost, pace, ..Candidate::new(s.id.clone(), load, s.slots) }
        };
        usable.into_iter().map(describe).collect()
    }

    /// Returns how many servers serve requests like this one, whether or not they may get it now.
    pub(super) fn serving_count(&self, request: &Request) -> usize {
        let fleet = self.fleet.borrow();
        let serves = |s: &&Server| !self.is_evacuated(s) && self.is_in_region(request, s);
        fleet.usable(&request.service.name).into_iter().filter(serves).count()
    }

    /// Returns why nothing may be sent to a server now, also if it was chosen before; `None` if it
    /// may get requests.
    pub(super) fn withheld(&self, server: &Server) -> Option<Exclusion> {
        self.exclusion(server, self.now())
    }

    fn exclusion(&self, server: &Server, now: Moment) -> Option<Exclusion> {
        if self.is_evacuated(server) {
            return Some(Exclusion::Evacuated);
        }
        if !self.backoffs.borrow().left(&server.id, now).is_zero() {
            return Some(Exclusion::Paused);
        }
        if self.rate_limits.borrow().is_cold_beginning(&server.id, now) {
            return Some(Exclusion::Cold);
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
