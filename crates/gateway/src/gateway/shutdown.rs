//! Graceful shutdown.

use std::time::Duration;

use log::info;
use tokio::sync::watch;

use crate::Gateway;
use crate::stop::Phase;

impl Gateway {
    /// Returns the phase of the stop.
    pub fn phase(&self) -> Phase {
        self.stop.get().phase(self.now())
    }

    /// Returns whether a request that is expected to run for `expected` may still start.
    pub fn accepts(&self, expected: Duration) -> bool {
        self.stop.get().accepts(expected, self.now())
    }

    /// Returns the retry delay for a request that is refused during the stop. It is zero if another
    /// daemon accepts requests, otherwise the time until this one has restarted.
    pub fn stop_retry_delay(&self) -> Duration {
        let now = self.now();
        if self.peers.borrow().is_any_serving(now) {
            return Duration::ZERO;
        }
        self.stop.get().restart_delay(now)
    }

    /// Starts the graceful stop. Returns when all requests have ended and their responses have been
    /// written, or when the grace period is over.
    pub async fn shut_down(&self) {
        let mut stop = self.stop.get();
        stop.begin(self.now());
        self.stop.set(stop);
        self.request_report();
        loop {
            let phase = self.phase();
            self.phase.send_if_modified(|old| std::mem::replace(old, phase) != phase);
            let idle = self.ledger.borrow().is_empty() && self.active_connections.get() == 0;
            if phase == Phase::Over || (phase == Phase::Finishing && idle) {
                break;
            }
            tokio::time::sleep(crate::stop::POLL_INTERVAL).await;
        }
        stop.close();
        self.stop.set(stop);
        let (unfinished, open) = (self.ledger.borrow().len(), self.active_connections.get());
        info!(target: "process", unfinished, open; "stopped");
        tokio::time::sleep(crate::stop::POLL_INTERVAL).await;
    }

    /// Returns a receiver that shows changes of the phase.
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Waits for [`Phase::Finishing`] or [`Phase::Over`], in which idle connections are closed.
    pub async fn wait_until_finishing(&self) {
        let mut phase = self.phase.subscribe();
        let is_finishing = |p: &Phase| matches!(p, Phase::Finishing | Phase::Over);
        if phase.wait_for(is_finishing).await.is_err() {
            log::debug!(target: "process", "the phase channel is closed");
        }
    }
}
