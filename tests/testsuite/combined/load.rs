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

/// Callers of each sort.
const CALLERS: usize = 4;
/// Pause of a caller between requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Tokens of an answer.
const TOKENS: u64 = 40;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(6);
/// Time that a caller gives the answer on its way, on a busy machine.
const DELIVERY: Duration = Duration::from_secs(3);
/// Longest that a caller goes on with one request.
const PATIENCE: Duration = Duration::from_secs(20);

/// Callers at work.
pub struct Load {
    stopping: Arc<AtomicBool>,
    callers: JoinSet<()>,
    report: Arc<Mutex<Report>>,
}

/// One caller.
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

    /// Lets the callers finish and returns what they saw.
    pub async fn stop(self) -> Report {
        self.stopping.store(true, Ordering::SeqCst);
        self.callers.join_all().await;
        self.report.lock().expect("no caller panicked").clone()
    }
}

impl Worker {
    /// Sends streamed requests one after the other.
    async fn stream_all(self) {
        for count in 0.. {
            if self.stopping.load(Ordering::SeqCst) {
                return;
            }
            let prompt = format!("summary {} {count} ", self.name).repeat(40);
            self.stream(&prompt).await;
            sleep(PAUSE).await;
        }
    }

    /// Sends one streamed request, continuing it through either daemon.
    async fn stream(&self, prompt: &str) {
        let body = Caller::completion(MODEL, prompt, TOKENS, true);
        let expected = Text::new(prompt, &[]).range(0, TOKENS);
        let start = Instant::now();
        let mut text = String::new();
        let mut last = String::new();
        for turn in 0.. {
            if start.elapsed() > PATIENCE {
                return self.note(|report| report.given_up += 1);
            }
            let caller = self.caller(turn);
            let opened = if last.is_empty() {
                timeout(DEADLINE + DELIVERY, caller.stream(&body)).await
            } else {
                timeout(DEADLINE + DELIVERY, caller.resume(&last)).await
            };
            let mut stream = match opened {
                Ok(Ok(stream)) => stream,
                Ok(Err(answer)) if answer.status == 0 => {
                    sleep(PAUSE).await;
                    continue;
                }
                Ok(Err(answer)) => {
                    if answer.kind() == "resume_gone" {
                        last.clear();
                        text.clear();
                    }
                    self.note(|report| report.refused(&answer));
                    sleep(PAUSE).await;
                    continue;
                }
                Err(_) => {
                    self.note(|report| report.silent += 1);
                    continue;
                }
            };
            loop {
                match timeout(DEADLINE + DELIVERY, stream.next()).await {
                    Ok(Piece::Text(more)) => text.push_str(&more),
                    Ok(Piece::Done) => {
                        return self.note(|report| report.streamed(text == expected));
                    }
                    Ok(Piece::Failed(kind)) => return self.note(|report| report.failed(&kind)),
                    Ok(Piece::Broken) => break,
                    Err(_) => {
                        self.note(|report| report.silent += 1);
                        break;
                    }
                }
            }
            stream.last_event_id().clone_into(&mut last);
        }
    }

    /// Sends postings one after the other.
    async fn post_all(self) {
        for count in 0.. {
            if self.stopping.load(Ordering::SeqCst) {
                return;
            }
            self.post(&format!("posting-{}-{count}", self.name)).await;
            sleep(PAUSE).await;
        }
    }

    /// Sends one posting, through either daemon, until its outcome is known.
    async fn post(&self, key: &str) {
        let start = Instant::now();
        for turn in 0.. {
            if start.elapsed() > PATIENCE {
                return self.note(|report| report.given_up += 1);
            }
            let answer = self.post_once(turn, key).await;
            let Some(answer) = answer else {
                self.note(|report| report.silent += 1);
                continue;
            };
            match (answer.status, answer.ran()) {
                (200..300, _) => return self.note(|report| report.posted(key)),
                (0, _) => {}
                (_, "no") => self.note(|report| report.refused(&answer)),
                (_, ran) => {
                    let ran = ran.to_owned();
                    self.note(|report| report.unknown(key, &ran));
                    if answer.kind() != "in_progress" {
                        return;
                    }
                }
            }
            sleep(PAUSE).await;
        }
    }

    /// Sends one posting; returns `None` when no answer came in time.
    async fn post_once(&self, turn: usize, key: &str) -> Option<Answer> {
        let caller = self.caller(turn);
        let body = json!({"posting": key});
        let deadline = DEADLINE.as_millis().to_string();
        let request = caller
            .request("POST", &format!("/services/{PLAIN_SERVICE}/postings"))
            .header("Idempotency-Key", key)
            .header("X-Deadline-Ms", deadline)
            .json(&body);
        timeout(DEADLINE + DELIVERY, caller.send(request)).await.ok()
    }

    fn caller(&self, turn: usize) -> Caller {
        Caller::new(self.daemons[turn % self.daemons.len()], CREDENTIAL)
    }

    fn note(&self, change: impl FnOnce(&mut Report)) {
        change(&mut self.report.lock().expect("no caller panicked"));
    }
}
