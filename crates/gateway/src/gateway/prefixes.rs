//! Reuse of the prompt prefixes that servers still hold.

use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use log::info;

use crate::Gateway;
use crate::config::Service;
use crate::fleet::Server;
use crate::http::Request;
use crate::placement::Candidate;
use crate::placement::Placement;
use crate::prefix::Copy;
use crate::prefix::Prefix;
use crate::prefix::Report;
use crate::prefix::Reuse;

impl Gateway {
    /// Adds to the candidates of a request what they probably save by holding the beginning of its
    /// prompt. Does nothing for a service whose engines keep no prefixes.
    pub(super) fn add_savings(&self, request: &Request, candidates: &mut [Candidate], now: Moment) {
        let Some(profile) = request.service.engine.filter(|_| keeps_prefixes(&request.service))
        else {
            return;
        };
        for copy in self.prefix_copies(request, now) {
            if let Some(candidate) = candidates.iter_mut().find(|c| c.id == copy.server) {
                let used = Tokens::new(candidate.load.memory);
                candidate.saved_ms = copy.saved_ms(&profile, profile.memory.saturating_sub(used));
            }
        }
    }

    /// Logs and counts whether a placement reuses a prefix that a server holds.
    pub(super) fn record_reuse(
        &self,
        request: &Request,
        candidates: &[Candidate],
        placement: &Placement,
        now: Moment,
    ) {
        if !keeps_prefixes(&request.service) {
            return;
        }
        let copies = self.prefix_copies(request, now);
        let reuse = Reuse::of(&copies, candidates, placement);
        let longest = copies.first();
        info!(
            target: "request", id = request.metadata.id, server:% = placement.server,
            reuse:% = reuse, saved_ms = reuse.saved_ms() as u64, copies = copies.len(),
            prefix = longest.map_or(0, |copy| copy.tokens.get()),
            prefix_age_ms = longest.map_or(0, |copy| copy.age.as_millis() as u64);
            "prefix reuse decided"
        );
        self.metrics.prefix_reuse(&reuse);
    }

    fn prefix_copies(&self, request: &Request, now: Moment) -> Vec<Copy> {
        let prefixes = Prefix::of_parts(&request.metadata.prompt_parts);
        self.prefixes.borrow().copies(&prefixes, now)
    }

    /// Records that a server has computed the whole prompt of a request.
    pub fn record_computed_prompt(&self, request: &Request, placement: &Placement) {
        let Some(capacity) = request.service.prefix_cache else {
            return;
        };
        if placement.helpers.is_empty() {
            let prefixes = Prefix::of_parts(&request.metadata.prompt_parts);
            let mut table = self.prefixes.borrow_mut();
            table.record(&placement.server, &prefixes, capacity, self.now());
        }
    }

    /// Discards what a server is believed to hold.
    pub fn forget_prefixes(&self, server: &runner::Id) {
        self.prefixes.borrow_mut().forget(server);
    }

    /// Returns the prefixes that the peers are told of.
    pub fn take_prefix_reports(&self) -> Vec<Report> {
        let fleet = self.fleet.borrow();
        let start_key = |id: &runner::Id| fleet.server(id).map(Server::start_key);
        self.prefixes.borrow_mut().take_reports(start_key, self.now())
    }

    /// Applies what a peer reports of the prefixes that servers hold.
    pub fn merge_prefixes(&self, reports: &[Report]) {
        let Some(config) = self.config().filter(|_| !reports.is_empty()) else {
            return;
        };
        let fleet = self.fleet.borrow();
        let resolve = |key| {
            let server = fleet.server(fleet.by_start_key(key)?)?;
            Some((server.id.clone(), config.service(&server.service)?.prefix_cache?))
        };
        self.prefixes.borrow_mut().merge(reports, resolve, self.now());
    }
}

fn keeps_prefixes(service: &Service) -> bool {
    service.prefix_cache.is_some()
}
