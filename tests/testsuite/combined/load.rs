use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kumquattiller_standins::engine::Text;
use kumquattiller_support::caller::Answer;
use kumquattiller_support::caller::Caller;
use kumquattiller_support::caller::Piece;
use kumquattiller_support::fleet::CREDENTIAL;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::MODEL;
use kumquattiller_support::fleet::PLAIN_SERVICE;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use super::report::Report;

/// Number of callers that send streamed requests, and of callers that send non-idempotent calls.
const CALLERS: usize = 4;
/// Pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
/// Tokens of an answer.
const ANSWER_TOKENS: u64 = 40;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(6);
/// Time after the deadline that a caller allows for delivery of the answer on a busy machine.
const DELIVERY_MARGIN: Duration = Duration::from_secs(3);
/// Longest time for which a caller retries one request.
const RETRY_LIMIT: Duration = Duration::from_secs(20);

/// The running callers and what they have observed.
pub struct Load {
    stopping: Arc<AtomicBool>,
    callers: JoinSet<()>,
    report: Arc<Mutex<Report>>,
}

/// A caller that sends one request at a time.
#[derive(Clone)]
struct Worker {
    daemons: Vec<SocketAddr>,
    name: String,
    stopping: Arc<AtomicBool>,
    report: Arc<Mutex<Report>>,
}

impl Load {
    /// Starts the callers.
    pub fn start(fleet: &Fleet, seed: u64) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let report = Arc::new(Mutex::new(Report::default()));
        let mut callers = JoinSet::new();
        for index in 0..CALLERS {
            let mut daemons: Vec<SocketAddr> = fleet.entries.iter().map(|e| e.http).collect();
            daemons.rotate_left(index % 2);
            let worker = Worker {
                daemons,
                name: format!("{seed}-{index}"),
                stopping: Arc::clone(&stopping),
                report: Arc::clone(&report),
            };
            callers.spawn(worker.clone().stream_all());
            callers.spawn(worker.post_all());
        }
        Self { stopping, callers, report }
    }

    /// Waits until the callers have finished their requests and returns what they observed.
    pub async fn stop(self) -> Report {
        self.stopping.store(true, Ordering::SeqCst);
        self.callers.join_all().await;
        self.report.lock().expect("no caller panicked").clone()
    }
}

impl Worker {
    /// Sends streamed requests one after the other until the load stops.
    async fn stream_all(self) {
        for count in 0.. {
            if self.stopping.load(Ordering::SeqCst) {
                return;
            }
            let prompt = format!("summary {} {count} ", self.name).repeat(40);
            self.stream(&prompt).await;
            sleep(REQUEST_PAUSE).await;
        }
    }

    /// Sends one streamed request and resumes it through alternating daemons until it ends.
    async fn stream(&self, prompt: &str) {
        let body = Caller::completion(MODEL, prompt, ANSWER_TOKENS, true);
        let expected = Text::new(prompt, &[]).range(0, ANSWER_TOKENS);
        let start = Instant::now();
        let mut text = String::new();
        let mut last_event_id = String::new();
        for attempt in 0.. {
            if start.elapsed() > RETRY_LIMIT {
                return self.record(|report| report.abandoned += 1);
            }
            let caller = self.caller(attempt);
            let opened = if last_event_id.is_empty() {
                timeout(DEADLINE + DELIVERY_MARGIN, caller.stream(&body)).await
            } else {
                timeout(DEADLINE + DELIVERY_MARGIN, caller.resume(&last_event_id)).await
            };
            let mut stream = match opened {
                Ok(Ok(stream)) => stream,
                Ok(Err(answer)) if answer.status == 0 => {
                    sleep(REQUEST_PAUSE).await;
                    continue;
                }
                Ok(Err(answer)) => {
                    if answer.kind() == "resume_gone" {
                        last_event_id.clear();
                        text.clear();
                    }
                    self.record(|report| report.record_refusal(&answer));
                    sleep(REQUEST_PAUSE).await;
                    continue;
                }
                Err(_) => {
                    self.record(|report| report.unanswered += 1);
                    continue;
                }
            };
            loop {
                match timeout(DEADLINE + DELIVERY_MARGIN, stream.next()).await {
                    Ok(Piece::Text(piece)) => text.push_str(&piece),
                    Ok(Piece::Done) => {
                        return self.record(|report| report.record_stream(text == expected));
                    }
                    Ok(Piece::Failed(kind)) => {
                        return self.record(|report| report.record_failure(&kind));
                    }
                    Ok(Piece::Broken) => break,
                    Err(_) => {
                        self.record(|report| report.unanswered += 1);
                        break;
                    }
                }
            }
            stream.last_event_id().clone_into(&mut last_event_id);
        }
    }

    /// Sends non-idempotent calls one after the other until the load stops.
    async fn post_all(self) {
        for count in 0.. {
            if self.stopping.load(Ordering::SeqCst) {
                return;
            }
            self.post(&format!("posting-{}-{count}", self.name)).await;
            sleep(REQUEST_PAUSE).await;
        }
    }

    /// Sends one non-idempotent call through alternating daemons until its outcome is final.
    async fn post(&self, key: &str) {
        let start = Instant::now();
        for attempt in 0.. {
            if start.elapsed() > RETRY_LIMIT {
                return self.record(|report| report.abandoned += 1);
            }
            let answer = self.post_once(attempt, key).await;
            let Some(answer) = answer else {
                self.record(|report| report.unanswered += 1);
                continue;
            };
            match (answer.status, answer.ran()) {
                (200..300, _) => return self.record(|report| report.record_posted(key)),
                (0, _) => {}
                (_, "no") => self.record(|report| report.record_refusal(&answer)),
                (_, ran) => {
                    let ran = ran.to_owned();
                    self.record(|report| report.record_unknown(key, &ran));
                    if answer.kind() != "in_progress" {
                        return;
                    }
                }
            }
            sleep(REQUEST_PAUSE).await;
        }
    }

    /// Sends one non-idempotent call; returns `None` when no answer came in time.
    async fn post_once(&self, attempt: usize, key: &str) -> Option<Answer> {
        let caller = self.caller(attempt);
        let body = json!({"posting": key});
        let deadline = DEADLINE.as_millis().to_string();
        let request = caller
            .request("POST", &format!("/services/{PLAIN_SERVICE}/postings"))
            .header("Idempotency-Key", key)
            .header("X-Deadline-Ms", deadline)
            .json(&body);
        timeout(DEADLINE + DELIVERY_MARGIN, caller.send(request)).await.ok()
    }

    fn caller(&self, attempt: usize) -> Caller {
        Caller::new(self.daemons[attempt % self.daemons.len()], CREDENTIAL)
    }

    fn record(&self, change: impl FnOnce(&mut Report)) {
        change(&mut self.report.lock().expect("no caller panicked"));
    }
}
