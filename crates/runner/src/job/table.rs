use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use kumquattiller_wire::Attempt;

use crate::job::Job;

/// Time for which the answer of an ended job is kept so that a stream can be resumed.
const ENDED_JOB_RETENTION: Duration = Duration::from_secs(60);
/// Time without a subscriber after which an idempotent job is cancelled.
const ORPHAN_GRACE: Duration = Duration::from_secs(3);

/// The jobs of a runner process by attempt.
#[derive(Debug, Default)]
pub struct Table {
    jobs: Mutex<HashMap<Attempt, Arc<Job>>>,
}

impl Table {
    /// Returns the job of an attempt.
    pub fn get(&self, attempt: Attempt) -> Option<Arc<Job>> {
        self.lock().get(&attempt).cloned()
    }

    /// Adds a job unless its attempt has one; returns the attempt's job and whether it was added.
    pub fn add(&self, job: Job) -> (Arc<Job>, bool) {
        let mut jobs = self.lock();
        if let Some(present) = jobs.get(&job.attempt()) {
            return (Arc::clone(present), false);
        }
        let job = Arc::new(job);
        jobs.insert(job.attempt(), Arc::clone(&job));
        (job, true)
    }

    /// Removes jobs whose retention has passed and cancels idempotent jobs without a subscriber.
    ///
    /// A non-idempotent job runs on without a subscriber, because its outcome must be recorded.
    pub fn sweep(&self, now: Moment) {
        self.lock().retain(|_, job| {
            let orphan = job.unsubscribed_since().is_some_and(|at| now.since(at) >= ORPHAN_GRACE);
            if orphan && job.start().idempotent {
                job.cancellation().cancel();
            }
            job.ended_at().is_none_or(|at| now.since(at) < ENDED_JOB_RETENTION)
        });
    }

    /// Returns the number of jobs that have not ended.
    pub fn active_count(&self) -> usize {
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
