use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use kumquattiller_base::place;
use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_base::time::Moment;
use kumquattiller_inventory::register;
use kumquattiller_inventory::register::Register;
use kumquattiller_routing::choice::Reason;
use kumquattiller_routing::subset;
use kumquattiller_routing::subset::Place;
use kumquattiller_routing::subset::Sizes;
use kumquattiller_routing::table::Distance;

use crate::Daemon;
use crate::request::Admitted;
use crate::runners::Call;
use crate::runners::Remote;
use crate::runners::Routes;
use crate::runners::dialer;
use crate::snapshot::Snapshot;

/// The runners that an entry daemon has links to.
#[derive(Debug, Default)]
pub struct Pool {
    remotes: Mutex<HashMap<runner::Id, Arc<Remote>>>,
    routes: Routes,
    /// Whether a register was followed.
    followed: AtomicBool,
    /// Whether each runner of the first register was dialed.
    settled: AtomicBool,
}

impl Pool {
    /// Opens links to new runners of the daemon's subset and closes those that left it.
    pub fn follow(&self, daemon: &Daemon, snapshot: &Snapshot) {
        let wanted = wanted(daemon, &snapshot.configuration().register);
        let mut remotes = self.lock();
        remotes.retain(|_, remote| {
            let runner = remote.runner();
            let stays = wanted.get(&runner.id).is_some_and(|(r, _)| *r == runner);
            if !stays {
                self.routes.remove(runner);
                remote.removed().cancel();
            }
            stays
        });
        for (runner, distance) in wanted.into_values() {
            if remotes.contains_key(&runner.id) {
                continue;
            }
            let remote = Arc::new(Remote::new(runner.clone()));
            self.routes.insert(runner, distance);
            remotes.insert(runner.id.clone(), Arc::clone(&remote));
            tokio::spawn(dialer::run(daemon.clone(), remote));
        }
        drop(remotes);
        self.followed.store(true, Ordering::SeqCst);
    }

    /// Tells whether a link to each runner was tried once since the start. Before that a request
    /// would find no runner though there are some.
    pub fn is_settled(&self) -> bool {
        if self.settled.load(Ordering::SeqCst) {
            return true;
        }
        let followed = self.followed.load(Ordering::SeqCst);
        let settled = followed && self.lock().values().all(|remote| remote.is_dialed());
        self.settled.store(settled, Ordering::SeqCst);
        settled
    }

    /// Chooses a runner for a request among those not tried yet, and tells why.
    pub fn choose(
        &self,
        request: &Admitted,
        tried: &[runner::Id],
        now: Moment,
    ) -> Option<(Call, Reason)> {
        let choice = self.routes.choose(request, tried, now).ok()?;
        let remote = self.get(&choice.runner)?;
        let sender = remote.sender()?;
        Some((Call::new(remote, sender), choice.reason))
    }

    /// Returns the routing tables.
    pub const fn routes(&self) -> &Routes {
        &self.routes
    }

    /// Prepares a call to a certain runner, when its link is open.
    pub fn call(&self, id: &runner::Id) -> Option<Call> {
        let remote = self.get(id)?;
        let sender = remote.sender()?;
        Some(Call::new(remote, sender))
    }

    /// Returns a runner by its id.
    pub fn get(&self, id: &runner::Id) -> Option<Arc<Remote>> {
        self.lock().get(id).cloned()
    }

    /// Returns every runner.
    pub fn all(&self) -> Vec<Arc<Remote>> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<runner::Id, Arc<Remote>>> {
        self.remotes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the runners of the daemon's subset of each service, with their distances.
fn wanted<'a>(
    daemon: &Daemon,
    register: &'a Register,
) -> HashMap<&'a runner::Id, (&'a register::Runner, Distance)> {
    let settings = daemon.settings();
    let here = Place { region: settings.region.clone(), zone: settings.zone.clone() };
    let regions = regions(register);
    let mut services: HashMap<&service::Name, Vec<(&register::Runner, Place)>> = HashMap::new();
    for runner in &register.runners {
        let region = regions.get(&runner.zone).copied().unwrap_or(&here.region).clone();
        let place = Place { region, zone: runner.zone.clone() };
        services.entry(&runner.service).or_default().push((runner, place));
    }
    let mut wanted = HashMap::new();
    for runners in services.values() {
        let by_id: HashMap<&runner::Id, &register::Runner> =
            runners.iter().map(|(runner, _)| (&runner.id, *runner)).collect();
        let places = runners.iter().map(|(runner, place)| (&runner.id, place));
        for (id, distance) in subset::pick(&settings.id, &here, places, &Sizes::default()) {
            if let Some((id, runner)) = by_id.get_key_value(id) {
                wanted.insert(*id, (*runner, distance));
            }
        }
    }
    wanted
}

/// Returns the region of each availability zone.
fn regions(register: &Register) -> HashMap<&place::Zone, &place::Region> {
    let places = register.places.iter();
    places.flat_map(|place| place.zones.iter().map(move |zone| (zone, &place.region))).collect()
}
