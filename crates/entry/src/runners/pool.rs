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
    /// Whether the links were synced with a register at least once.
    synced: AtomicBool,
    /// Whether every runner of the first register was dialed at least once.
    all_dialed: AtomicBool,
}

impl Pool {
    /// Opens links to runners that joined the daemon's subset and closes links to those that left.
    pub fn sync_links(&self, daemon: &Daemon, snapshot: &Snapshot) {
        let selected = select(daemon, &snapshot.configuration().register);
        let mut remotes = self.lock();
        remotes.retain(|_, remote| {
            let runner = remote.runner();
            let is_current = selected.get(&runner.id).is_some_and(|(r, _)| *r == runner);
            if !is_current {
                self.routes.remove(runner);
                remote.removed().cancel();
            }
            is_current
        });
        for (runner, distance) in selected.into_values() {
            if remotes.contains_key(&runner.id) {
                continue;
            }
            let remote = Arc::new(Remote::new(runner.clone()));
            self.routes.insert(runner, distance);
            remotes.insert(runner.id.clone(), Arc::clone(&remote));
            tokio::spawn(dialer::run(daemon.clone(), remote));
        }
        drop(remotes);
        self.synced.store(true, Ordering::SeqCst);
    }

    /// Returns whether every runner was dialed at least once since the start.
    ///
    /// Until then a request may find no runner although some are reachable.
    pub fn all_dialed(&self) -> bool {
        if self.all_dialed.load(Ordering::SeqCst) {
            return true;
        }
        let synced = self.synced.load(Ordering::SeqCst);
        let all_dialed = synced && self.lock().values().all(|remote| remote.is_dialed());
        self.all_dialed.store(all_dialed, Ordering::SeqCst);
        all_dialed
    }

    /// Chooses a runner that was not tried yet; returns a call to it and why it was chosen.
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

    /// Returns a call to the given runner if its link is open.
    pub fn call(&self, id: &runner::Id) -> Option<Call> {
        let remote = self.get(id)?;
        let sender = remote.sender()?;
        Some(Call::new(remote, sender))
    }

    /// Returns a runner by its id.
    pub fn get(&self, id: &runner::Id) -> Option<Arc<Remote>> {
        self.lock().get(id).cloned()
    }

    /// Returns all runners.
    pub fn all(&self) -> Vec<Arc<Remote>> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<runner::Id, Arc<Remote>>> {
        self.remotes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Selects the daemon's subset of the runners of each service; returns it with the distances.
fn select<'a>(
    daemon: &Daemon,
    register: &'a Register,
) -> HashMap<&'a runner::Id, (&'a register::Runner, Distance)> {
    let settings = daemon.settings();
    let local = Place { region: settings.region.clone(), zone: settings.zone.clone() };
    let zone_regions = zone_regions(register);
    let mut services: HashMap<&service::Name, Vec<(&register::Runner, Place)>> = HashMap::new();
    for runner in &register.runners {
        let region = zone_regions.get(&runner.zone).copied().unwrap_or(&local.region).clone();
        let place = Place { region, zone: runner.zone.clone() };
        services.entry(&runner.service).or_default().push((runner, place));
    }
    let mut selected = HashMap::new();
    for runners in services.values() {
        let by_id: HashMap<&runner::Id, &register::Runner> =
            runners.iter().map(|(runner, _)| (&runner.id, *runner)).collect();
        let places = runners.iter().map(|(runner, place)| (&runner.id, place));
        for (id, distance) in subset::pick(&settings.id, &local, places, &Sizes::default()) {
            if let Some((id, runner)) = by_id.get_key_value(id) {
                selected.insert(*id, (*runner, distance));
            }
        }
    }
    selected
}

/// Returns the region of each availability zone.
fn zone_regions(register: &Register) -> HashMap<&place::Zone, &place::Region> {
    let places = register.places.iter();
    places.flat_map(|place| place.zones.iter().map(move |zone| (zone, &place.region))).collect()
}
