//! Graceful shutdown.

use std::time::Duration;

use log::info;
use tokio::sync::watch;

use crate::Gateway;
use crate::http::Request;
use crate::placement::Placement;
use crate::stop::LAST_POLL_INTERVAL;
use crate::stop::POLL_INTERVAL;
use crate::stop::Phase;
use crate::stop::Stop;

impl Gateway {
    /// Returns the phase of the stop.
    pub fn phase(&self) -> Phase {
        self.stop.get().phase(self.now())
    }

    /// Returns whether a request that is expected to run for `expected` may still start.
    pub fn accepts(&self, expected: Duration) -> bool {
        self.stop.get().accepts(expected, self.now())
    }

    /// Returns whether a request that has been placed ends before this daemon has to exit.
    pub fn ends_before_exit(&self, request: &Request, placement: &Placement) -> bool {
        let stop = self.stop.get();
        let now = self.now();
        stop.phase(now) == Phase::Serving || stop.fits(self.expected_time(request, placement), now)
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

    /// Starts the graceful stop. Returns when all requests have ended, their responses have been
    /// written and no live caller is behind with reading, or shortly before the grace period ends.
    pub async fn shut_down(&self) {
        let mut stop = self.stop.get();
        stop.begin(self.now());
        self.stop.set(stop);
        self.request_report();
        loop {
            let phase = self.phase();
            self.phase.send_if_modified(|old| std::mem::replace(old, phase) != phase);
            let idle = self.ledger.borrow().is_empty() && self.active_connections.get() == 0;
            let is_taken = self.sockets.stalled() == 0;
            let may_exit = idle && is_taken && matches!(phase, Phase::Finishing | Phase::Over);
            if may_exit || stop.must_exit(self.now()) {
                break;
            }
            let over = phase == Phase::Over;
            tokio::time::sleep(if over { LAST_POLL_INTERVAL } else { POLL_INTERVAL }).await;
        }
        stop.close();
        self.stop.set(stop);
        self.phase.send_replace(Phase::Over);
        self.finish_last_answers(stop).await;
        let (unfinished, open) = (self.ledger.borrow().len(), self.active_connections.get());
        info!(target: "process", unfinished, open; "stopped");
    }

    /// Waits until the refusals of requests that arrived at the end of the stop are written.
    async fn finish_last_answers(&self, stop: Stop) {
        let quiet_at = self.now() + POLL_INTERVAL;
        while !stop.must_exit(self.now())
            && (self.now() < quiet_at || self.active_connections.get() > 0)
        {
            tokio::time::sleep(LAST_POLL_INTERVAL).await;
        }
    }

    /// Returns the output of `work`, or `None` if it is not complete when a stopping daemon gives its
    /// last answers.
    pub async fn before_exit<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = work => Some(output),
            () = self.wait_for_phase(|phase| phase == Phase::Over) => None,
        }
    }

    /// Returns a receiver that shows changes of the phase.
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Waits for [`Phase::Finishing`] or [`Phase::Over`], in which idle connections are closed.
    pub async fn wait_until_finishing(&self) {
        self.wait_for_phase(|phase| matches!(phase, Phase::Finishing | Phase::Over)).await;
    }

    async fn wait_for_phase(&self, is_awaited: impl Fn(Phase) -> bool) {
        let mut phase = self.phase.subscribe();
        if phase.wait_for(|phase| is_awaited(*phase)).await.is_err() {
            log::debug!(target: "process", "the phase channel is closed");
        }
    }
}
