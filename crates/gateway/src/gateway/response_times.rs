//! How long responses are expected to take.

use std::time::Duration;

use kumquattiller_base::service;

use crate::Gateway;
use crate::http::Request;
use crate::placement::Placement;
use crate::placement::expected_response;

/// Expected time of a response without an engine profile, unless longer ones were seen.
const MIN_EXPECTED_TIME: Duration = Duration::from_secs(1);

impl Gateway {
    /// Returns the expected time until the response to a request that has been placed is complete, at
    /// most the time that it has.
    pub fn expected_time(&self, request: &Request, placement: &Placement) -> Duration {
        let now = self.now();
        let expected = match (&request.service.engine, &request.metadata.prompt) {
            (Some(profile), Some(prompt)) => {
                let load = self.ledger.borrow().server_load(&placement.server, now);
                let fleet = self.fleet.borrow();
                let key = fleet.server(&placement.server).map(|server| server.start_key());
                let pace = key.map(|key| self.paces.borrow().pace(key)).unwrap_or_default();
                expected_response(prompt, profile, &load, pace, placement.first_ms)
            }
            _ => self.expected_plain_time(&request.service.name),
        };
        expected.min(request.time_left(now))
    }

    /// Returns the expected time until a response of a service without an engine profile is complete.
    pub fn expected_plain_time(&self, service: &service::Name) -> Duration {
        let longest = self.response_times.borrow().longest(service, self.now());
        longest.unwrap_or_default().max(MIN_EXPECTED_TIME)
    }

    /// Records how long a server took for a request, or how long its response was awaited in vain.
    pub fn record_response_time(&self, request: &Request, time: Duration) {
        if request.service.engine.is_none() || request.metadata.prompt.is_none() {
            let service = &request.service.name;
            self.response_times.borrow_mut().record(service, time, self.now());
        }
    }
}
