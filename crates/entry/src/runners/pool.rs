use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use kumquattiller_base::runner;

use crate::Daemon;
use crate::request::Admitted;
use crate::runners::Call;
use crate::runners::Remote;
use crate::runners::dialer;
use crate::snapshot::Snapshot;

/// The runners that an entry daemon has links to.
#[derive(Debug, Default)]
pub struct Pool {
    remotes: Mutex<HashMap<runner::Id, Arc<Remote>>>,
}

impl Pool {
    /// Opens links to new runners and closes those to runners that left the register.
    pub fn follow(&self, daemon: &Daemon, snapshot: &Snapshot) {
        let register = &snapshot.configuration().register;
        let mut remotes = self.lock();
        remotes.retain(|_, remote| {
            let stays = register.runners.contains(remote.runner());
            if !stays {
                remote.removed().cancel();
            }
            stays
        });
        for runner in &register.runners {
            if remotes.contains_key(&runner.id) {
                continue;
            }
            let remote = Arc::new(Remote::new(runner.clone()));
            remotes.insert(runner.id.clone(), Arc::clone(&remote));
            tokio::spawn(dialer::run(daemon.clone(), remote));
        }
    }

    /// Chooses a runner for a request among those not tried yet.
    pub fn choose(&self, request: &Admitted, tried: &[runner::Id]) -> Option<Call> {
        let remotes = self.lock();
        let fits = |remote: &&Arc<Remote>| {
            let runner = remote.runner();
            runner.service == request.service && remote.is_usable() && !tried.contains(&runner.id)
        };
        let remote = remotes.values().filter(fits).min_by_key(|remote| remote.outstanding())?;
        Some(Call::new(Arc::clone(remote), remote.sender()?))
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
