//! Reports the requests that were running when the engine died to every entry daemon.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use kumquattiller_base::attempt;
use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::request;
use kumquattiller_link::Sender;
use kumquattiller_recovery::suspect::Death;
use kumquattiller_recovery::suspect::End;
use kumquattiller_recovery::suspect::Involved;
use kumquattiller_recovery::suspect::Monitor;
use kumquattiller_recovery::suspect::RETENTION;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;
use tokio::time::timeout;

/// Longest wait for room in a link's send queue.
const REPORT_SEND_TIMEOUT: Duration = Duration::from_millis(100);

/// The attempts that run on the engine, and the links on which its death is reported.
#[derive(Debug)]
pub struct Suspects {
    monitor: Mutex<Monitor<(request::Id, attempt::Number)>>,
    links: Mutex<Vec<Sender>>,
}

impl Suspects {
    /// Creates the monitor of a runner process; `incarnation` identifies its start.
    pub fn new(runner: &str, incarnation: u64) -> Self {
        let monitor = Mutex::new(Monitor::new(runner.to_owned(), incarnation));
        Self { monitor, links: Mutex::default() }
    }

    /// Adds a link on which engine deaths are reported, and removes closed ones.
    pub fn add_link(&self, link: Sender) {
        let mut links = lock(&self.links);
        links.retain(|link| !link.is_closed());
        links.push(link);
    }

    /// Records the start of an attempt.
    ///
    /// Returns false, and records nothing, for a suspect while another suspect runs.
    pub fn admit_attempt(&self, attempt: Attempt, start: &link::Start) -> bool {
        let high = u128::from(start.fingerprint_high) << 64;
        let fingerprint = Fingerprint::new(high | u128::from(start.fingerprint_low));
        lock(&self.monitor).start((attempt.request, attempt.number), fingerprint, start.suspect)
    }

    /// Records the end of an attempt.
    ///
    /// If the engine died, returns only after the report is queued on every link or has timed out.
    pub async fn end_attempt(&self, attempt: Attempt, engine_died: bool) {
        let end = if engine_died { End::EngineDied } else { End::EngineSurvived };
        let death = lock(&self.monitor).finish((attempt.request, attempt.number), end);
        let Some((death, true)) = death else {
            return;
        };
        log::warn!(requests = death.running.len(); "engine died");
        let links = lock(&self.links).clone();
        let sends = links
            .iter()
            .map(|link| timeout(REPORT_SEND_TIMEOUT, link.send(Body::Suspects(report(&death)))));
        futures::future::join_all(sends).await;
    }
}

/// Builds the frame that reports a death.
fn report(death: &Death) -> link::Suspects {
    let suspect = |involved: &Involved| link::Suspect {
        fingerprint_high: (involved.fingerprint.get() >> 64) as u64,
        fingerprint_low: involved.fingerprint.get() as u64,
        deaths: 1,
        left_ms: RETENTION.as_millis() as u64,
        death: death.id.get(),
        confirmed: involved.suspect,
    };
    link::Suspects { suspects: death.running.iter().map(suspect).collect() }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
