use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_wire::Attempt;

use crate::job::Job;

/// Time for which the answer of an ended job is kept for resumption.
const KEEP_ENDED: Duration = Duration::from_secs(60);
/// Time after which a job that nobody subscribes to is cancelled.
const ORPHAN_GRACE: Duration = Duration::from_secs(3);

/// The jobs of a process.
#[derive(Debug, Default)]
pub struct Table {
    jobs: Mutex<HashMap<Attempt, Arc<Job>>>,
}

impl Table {
    /// Returns the job of an attempt.
    pub fn get(&self, attempt: Attempt) -> Option<Arc<Job>> {
        self.lock().get(&attempt).cloned()
    }

    /// Adds a job unless its attempt is there; returns the job and whether it was added.
    pub fn add(&self, job: Job) -> (Arc<Job>, bool) {
        let mut jobs = self.lock();
        if let Some(present) = jobs.get(&job.attempt()) {
            return (Arc::clone(present), false);
        }
        let job = Arc::new(job);
        jobs.insert(job.attempt(), Arc::clone(&job));
        (job, true)
    }

    /// Drops answers that were kept long enough and cancels jobs without a subscriber.
    ///
    /// A non-idempotent job is not cancelled: its outcome is still to be recorded.
    pub fn sweep(&self, now: Moment) {
        self.lock().retain(|_, job| {
            let orphan = job.alone_since().is_some_and(|at| now.since(at) >= ORPHAN_GRACE);
            if orphan && job.start().idempotent {
                job.cancel().cancel();
            }
            job.ended_at().is_none_or(|at| now.since(at) < KEEP_ENDED)
        });
    }

    /// Returns the number of jobs that have not ended.
    pub fn running(&self) -> usize {
        self.lock().values().filter(|job| job.ended_at().is_none()).count()
    }

    /// Returns the jobs that have not ended.
    pub fn active(&self) -> Vec<Arc<Job>> {
        self.lock().values().filter(|job| job.ended_at().is_none()).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Attempt, Arc<Job>>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
