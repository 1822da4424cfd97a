//! The graceful stop.

use std::time::Duration;

use log::info;

use crate::Gateway;
use crate::stop::Phase;

impl Gateway {
    /// Returns the phase of the stop.
    pub fn phase(&self) -> Phase {
        self.stop.get().phase(self.now())
    }

    /// Tells whether a request that is expected to last so long may begin here.
    pub fn takes(&self, expected: Duration) -> bool {
        self.stop.get().takes(expected, self.now())
    }

    /// Returns when a caller that is refused for the stop may come again: at once where another
    /// daemon takes requests, else when this one is back.
    pub fn stop_retry(&self) -> Duration {
        let now = self.now();
        if self.peers.borrow().is_any_serving(now) {
            return Duration::ZERO;
        }
        self.stop.get().back_after(now)
    }

    /// Begins the graceful stop and returns when what ran has ended, and each answer is out, or
    /// the grace is over.
    pub async fn finish(&self) {
        let mut stop = self.stop.get();
        stop.ask(self.now());
        self.stop.set(stop);
        loop {
            let phase = self.phase();
            self.phase.send_if_modified(|old| std::mem::replace(old, phase) != phase);
            let idle = self.ledger.borrow().is_empty() && self.active_connections.get() == 0;
            if phase == Phase::Over || (phase == Phase::Finishing && idle) {
                break;
            }
            tokio::time::sleep(crate::stop::INTERVAL).await;
        }
        stop.close();
        self.stop.set(stop);
        let (unfinished, open) = (self.ledger.borrow().len(), self.active_connections.get());
        info!(target: "process", unfinished, open; "stopped");
        tokio::time::sleep(crate::stop::INTERVAL).await;
    }

    /// Waits until this daemon takes no new requests.
    pub async fn wait_finishing(&self) {
        let mut phase = self.phase.subscribe();
        let refusing = |p: &Phase| matches!(p, Phase::Finishing | Phase::Over);
        if phase.wait_for(refusing).await.is_err() {
            log::debug!(target: "process", "the gateway has ended");
        }
    }
}
