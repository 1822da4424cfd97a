//! Pace of the backend servers.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::daemon;
use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;

use crate::Gateway;
use crate::http::Request;
use crate::pace;
use crate::pace::Measure;
use crate::peer;

/// Fraction of the unanswered prefill that belongs to the running pass; the rest waits for the next.
const PASS_FRACTION: f64 = 0.5;

impl Gateway {
    /// Records the time that a request took at a server for something.
    pub fn record_pace(&self, server: &runner::Id, expected: Duration, seen: Duration) {
        if let Some(server) = self.fleet.borrow().server(server) {
            self.paces.borrow_mut().record(server.start_key(), expected, seen, self.now());
        }
    }

    /// Returns the expected length of a pass of a request's server. Returns `None` if the server is
    /// not a model engine, or if so much prefill is in flight there that the length is uncertain.
    pub fn expected_pass(&self, request: &Request, server: &runner::Id) -> Option<Duration> {
        let profile = request.service.engine.as_ref()?;
        let load = self.ledger.borrow().server_load(server, self.now());
        let decode_ms = profile.decode_pass_ms(f64::from(load.decoding), Tokens::new(load.memory));
        let is_certain = load.unanswered_ms <= decode_ms;
        let pass_ms = decode_ms + load.unanswered_ms * PASS_FRACTION;
        is_certain.then(|| Duration::from_secs_f64(pass_ms / 1e3))
    }

    /// Returns what this daemon tells its peers of the servers' pace.
    pub fn pace_reports(&self) -> Vec<peer::Pace> {
        let reports = self.paces.borrow().reports(self.now());
        reports.iter().map(|(server, measure)| peer::Pace::of(*server, measure)).collect()
    }

    /// Replaces what a peer tells of the servers' pace.
    pub fn merge_paces(&self, peer: &daemon::Id, paces: &[peer::Pace]) {
        let now = self.now();
        let recent = paces.iter().take(pace::MAX_REPORTED);
        let measures: HashMap<u64, Measure> = recent.map(|p| (p.server, p.measure(now))).collect();
        self.paces.borrow_mut().merge(peer, measures);
    }
}
