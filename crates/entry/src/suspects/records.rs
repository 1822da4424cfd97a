use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::time::Moment;
use kumquattiller_recovery::suspect::Involved;
use kumquattiller_recovery::suspect::Registry;
use kumquattiller_recovery::suspect::Standing;
use kumquattiller_recovery::suspect::death;
use kumquattiller_wire::link;
use tokio::sync::Notify;

/// The suspect records that this daemon knows.
#[derive(Debug, Default)]
pub struct Suspects {
    registry: Mutex<Registry>,
    changed: Notify,
}

impl Suspects {
    /// Adds the suspects that a runner process reports.
    pub fn record_report(&self, report: &link::Suspects, now: Moment) {
        let mut any_new = false;
        for suspect in &report.suspects {
            let high = u128::from(suspect.fingerprint_high) << 64;
            let fingerprint = Fingerprint::new(high | u128::from(suspect.fingerprint_low));
            let involved = Involved { fingerprint, suspect: suspect.confirmed };
            any_new |= self.registry().record_death(involved, death::Id::new(suspect.death), now);
            log::warn!(
                fingerprint:% = fingerprint, confirmed = suspect.confirmed;
                "request was running when an engine died"
            );
        }
        if any_new {
            self.changed.notify_one();
        }
    }

    /// Returns whether a request is clear, a suspect, or refused because it crashes engines.
    pub fn standing(&self, fingerprint: Fingerprint, now: Moment) -> Standing {
        self.registry().standing(fingerprint, now)
    }

    /// Stops treating a request as a suspect after it ended with its whole answer.
    pub fn clear(&self, fingerprint: Fingerprint) {
        if self.registry().clear(fingerprint) {
            self.changed.notify_one();
        }
    }

    /// Waits until the records have changed since the last call.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    pub(super) fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
