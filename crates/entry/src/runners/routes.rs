use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_inventory::register;
use kumquattiller_routing::choice::Choice;
use kumquattiller_routing::load::Load;
use kumquattiller_routing::long;
use kumquattiller_routing::pace::Pace;
use kumquattiller_routing::policy::Policy;
use kumquattiller_routing::prefix;
use kumquattiller_routing::request::Request;
use kumquattiller_routing::router::Refusal;
use kumquattiller_routing::router::Router;
use kumquattiller_routing::table::Distance;
use kumquattiller_routing::table::Table;

use crate::request::Admitted;
use crate::runners::Remote;

/// The routing tables of the services, updated from links and queried for requests.
#[derive(Debug, Default)]
pub struct Routes {
    services: Mutex<HashMap<service::Name, Route>>,
}

/// The routing table and the router of one service.
#[derive(Debug)]
struct Route {
    table: Table,
    router: Router,
}

impl Default for Route {
    fn default() -> Self {
        let router = Router::new(Policy::default(), Pace::default());
        Self { table: Table::default(), router }
    }
}

impl Routes {
    /// Adds a runner; it is unreachable until its link opens.
    pub fn insert(&self, runner: &register::Runner, distance: Distance) {
        let mut services = self.lock();
        let table = &mut services.entry(runner.service.clone()).or_default().table;
        table.insert(runner.id.clone(), runner.zone.clone(), distance);
        table.set_reachable(&runner.id, false);
    }

    /// Removes a runner.
    pub fn remove(&self, runner: &register::Runner) {
        if let Some(route) = self.lock().get_mut(&runner.service) {
            route.table.remove(&runner.id);
        }
    }

    /// Updates the routing table from the link state and the latest load report of a runner.
    ///
    /// Cache events may have been lost when the link closed or when the report says so; the router
    /// then records a gap in what it knows of the runner's cached prefixes.
    pub fn refresh(&self, remote: &Remote) {
        let runner = remote.runner();
        let (load, at) = remote.load();
        let is_open = remote.sender().is_some();
        if let Some(Route { table, router }) = self.lock().get_mut(&runner.service) {
            let was_open = table.get(&runner.id).is_some_and(|known| known.reachable);
            if (was_open && !is_open) || load.gap {
                router.prefixes_mut().record_gap(&runner.id);
            }
            table.set_reachable(&runner.id, is_open);
            if table.get(&runner.id).is_some_and(|known| known.reported_at != Some(at)) {
                router.prefixes_mut().record_eviction(&runner.id, &load.evicted);
                table.report(&runner.id, routing_load(&load), at);
            }
        }
    }

    /// Chooses a runner for the next attempt of a request.
    ///
    /// # Errors
    ///
    /// Fails when no untried runner of the service is reachable.
    pub fn choose(
        &self,
        request: &Admitted,
        tried: &[runner::Id],
        now: Moment,
    ) -> Result<Choice, Refusal> {
        let prefix_hashes = prefix::sample(&request.block_hashes);
        let routing_request = Request {
            prompt: request.prompt_tokens,
            max_response: request.max_tokens,
            prefix_hashes: &prefix_hashes,
            rank: request.rank,
            remaining: request.deadline.remaining(now),
            tried,
        };
        let mut services = self.lock();
        let Route { table, router } = services.entry(request.service.clone()).or_default();
        let choice = router.choose(table, &routing_request, now, &mut rand::rng())?;
        table.sent(&choice.runner, &routing_request);
        Ok(choice)
    }

    /// Returns whether a request exceeds the memory of every single engine of its service, so that
    /// only several engines together may hold it.
    pub fn needs_several_engines(&self, service: &service::Name, footprint: Tokens) -> bool {
        let services = self.lock();
        let Some(Route { table, .. }) = services.get(service) else {
            return false;
        };
        let largest = table.runners().iter().map(long::usable_memory).max().unwrap_or_default();
        largest > Tokens::ZERO && footprint > largest
    }

    /// Starts a reservation of memory on several engines; returns it with the first actions to
    /// take.
    ///
    /// # Errors
    ///
    /// Fails when no reachable set of engines has enough memory for the request.
    pub fn begin_reservation(
        &self,
        service: &service::Name,
        footprint: Tokens,
        start_by: Moment,
        now: Moment,
    ) -> Result<(long::Reservation, Vec<long::Action>), long::TooLarge> {
        let mut services = self.lock();
        let Route { table, router } = services.entry(service.clone()).or_default();
        let long_engines = router.division(table).long_engines;
        long::Reservation::begin(table, footprint, long_engines, start_by, now)
    }

    /// Passes an event to a reservation; returns the actions to take.
    pub fn advance_reservation(
        &self,
        service: &service::Name,
        reservation: &mut long::Reservation,
        event: long::Event,
        now: Moment,
    ) -> Vec<long::Action> {
        let mut services = self.lock();
        let Route { table, .. } = services.entry(service.clone()).or_default();
        reservation.handle(event, table, now, &mut rand::rng())
    }

    /// Records that an attempt on a runner ended.
    pub fn record_finished(&self, service: &service::Name, runner: &runner::Id) {
        if let Some(route) = self.lock().get_mut(service) {
            route.table.finished(runner);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<service::Name, Route>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts a load report to the form of the routing tables.
fn routing_load(load: &kumquattiller_wire::Load) -> Load {
    Load {
        running: load.running,
        waiting: load.waiting,
        held: load.held,
        capacity: load.capacity,
        backlog: load.backlog,
        long_backlog: load.long_backlog,
        draining: load.draining,
    }
}
