use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use kumquattiller_base::error::Kind;
use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use log::info;
use tokio::time::timeout_at;

use crate::Gateway;
use crate::config::Repeat;
use crate::health::Outcome;
use crate::http::Answered;
use crate::http::Body;
use crate::http::Job;
use crate::http::Refusal;
use crate::http::Sent;
use crate::http::Verdict;
use crate::http::admission;
use crate::http::judge;
use crate::http::place::decline;
use crate::http::place::place;
use crate::http::place::refuse;
use crate::http::reply;
use crate::http::send;
use crate::placement::Declined;
use crate::relay;
use crate::relay::Flight;
use crate::relay::Past;
use crate::ticket::Tickets;

/// Largest whole answer that is held, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Connections to different servers that are tried before a request is refused.
const MAX_UNSENT: u32 = 4;

/// How one try at a server ended, for the choice of what follows.
enum Ended {
    /// The answer for the caller.
    Final(Response<Body>),
    /// The request did not run.
    NotRun,
    /// Nothing was sent.
    Unsent,
    /// The request may have run; an answer of the server to pass on, if there is one.
    Failed(Option<Response<Body>>),
    /// The time of the request is over.
    Late,
}

/// Serves one request of a caller.
pub async fn serve(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let arrived = gateway.now();
    let (head, body) = request.into_parts();
    let ask = gateway.dialect().request_info(&head);
    let job = match admission::admit(&gateway, &ask, head, body, arrived).await {
        Ok(job) => Rc::new(job),
        Err(refusal) => {
            info!(
                target: "request", id = ask.id, kind:% = refusal.kind, version:% = gateway.version(),
                answer = ask.prompt.map_or(0, |p| p.answer.get()), phase:% = gateway.phase();
                "refused at admission"
            );
            gateway.metrics().refused(refusal.kind);
            return refusal.response();
        }
    };
    gateway.count_request(&job);
    match run(&gateway, &job).await {
        Ok(response) => response,
        Err(refusal) => {
            info!(
                target: "request", id = job.ask.id, kind:% = refusal.kind,
                status = refusal.status.as_u16(), route = job.route.name, version:% = job.version,
                ms = gateway.now().since(job.arrived).as_millis() as u64;
                "refused"
            );
            gateway.metrics().refused(refusal.kind);
            refusal.response()
        }
    }
}

/// Tries servers until one answers or nothing more may be tried.
async fn run(gateway: &Rc<Gateway>, job: &Rc<Job>) -> Result<Response<Body>, Refusal> {
    if gateway.suspects().borrow().is_refused(job.fingerprint, gateway.now()) {
        return Err(Refusal::maybe_run(Kind::CrashesBackends));
    }
    let mut attempt = admission::attempt();
    let mut sends = 0;
    let mut unsent = 0;
    let mut tried = Vec::new();
    loop {
        let placement = match place(gateway, job, &tried).await {
            Ok(placement) => placement,
            Err(declined) => return Err(decline(gateway, job, attempt, declined)),
        };
        let Ok(tickets) = Tickets::of(gateway, &job.ask.id, &placement).await else {
            return Err(decline(gateway, job, attempt, Declined::NoRoom));
        };
        tried.push(placement.server.clone());
        let flight = Flight::start(gateway, job, &placement, tickets);
        let sent = attempt.send();
        match once(gateway, job, flight, &tried, sends).await {
            Ended::Final(response) => return Ok(response),
            Ended::Late => return Err(Refusal::maybe_run(Kind::DeadlineExceeded)),
            Ended::NotRun => {
                attempt = sent.refuse().again();
                sends += 1;
                if sends >= job.route.max_attempts || !gateway.may_resend(job) {
                    return Err(refuse(attempt, Kind::Overloaded));
                }
            }
            Ended::Unsent => {
                attempt = sent.refuse().again();
                unsent += 1;
                if unsent >= MAX_UNSENT {
                    return Err(refuse(attempt, Kind::NoRunner));
                }
            }
            Ended::Failed(answer) => {
                sends += 1;
                let again = job.route.repeat != Repeat::Never && sends < job.route.max_attempts;
                if !again || !gateway.may_resend(job) {
                    return answer.ok_or(Refusal::maybe_run(Kind::RunnerLost));
                }
                attempt = sent.again();
            }
        }
    }
}

/// Sends a request to one server.
async fn once(
    gateway: &Rc<Gateway>,
    job: &Rc<Job>,
    flight: Flight,
    tried: &[runner::Id],
    sends: u32,
) -> Ended {
    let Some(server) = flight.server() else {
        return Ended::Unsent;
    };
    let wait = gateway.head_wait(job, &flight, sends);
    let sending = send(gateway, job, &server, flight.helpers(), None);
    let Some(sent) = patient(gateway, job, &server.id, wait, sending).await else {
        flight.note(Outcome::Silent, "no answer in time");
        let late = gateway.now() >= job.end;
        return if late { Ended::Late } else { Ended::Failed(None) };
    };
    match sent {
        Sent::Unsent(error) => {
            flight.note_error(Outcome::Unreachable, &error);
            Ended::Unsent
        }
        Sent::Lost(error) => {
            flight.note_error(Outcome::Broken, &error);
            gateway.suspect(job, &flight.placement().server);
            Ended::Failed(None)
        }
        Sent::Answered(answered) => {
            let past = Past { tried: tried.to_vec(), sends: sends + 1 };
            take(gateway, job, flight, past, *answered).await
        }
    }
}

/// Waits for an answer until `wait`, and beyond it as long as its server is heard on other
/// connections; returns none when it did not come.
pub async fn patient<T>(
    gateway: &Gateway,
    job: &Job,
    server: &runner::Id,
    mut wait: Moment,
    answer: impl Future<Output = T>,
) -> Option<T> {
    let mut answer = std::pin::pin!(answer);
    loop {
        match timeout_at(gateway.instant(wait.min(job.end)), answer.as_mut()).await {
            Ok(answer) => return Some(answer),
            Err(_) if wait >= job.end => return None,
            Err(_) => {}
        }
        let alive = gateway.alive_until(server);
        if !job.route.streaming || alive <= gateway.now() {
            return None;
        }
        wait = alive;
    }
}

/// Takes in an answer.
async fn take(
    gateway: &Rc<Gateway>,
    job: &Rc<Job>,
    flight: Flight,
    past: Past,
    answered: Answered,
) -> Ended {
    let verdict = judge(&job.ask.id, answered.head.status, &answered.answer);
    match verdict {
        Verdict::Foreign => {
            flight.note(Outcome::Broken, "the answer belongs to another request");
            Ended::Failed(None)
        }
        Verdict::NotRun => {
            flight.not_run(answered.head.status);
            if let Some(address) = answered.answer.at_fault {
                gateway.note_at_fault(address);
            }
            let _ = whole(gateway, job, answered).await;
            Ended::NotRun
        }
        Verdict::Success if job.route.streaming => {
            Ended::Final(relay::response(gateway.clone(), job.clone(), flight, past, answered))
        }
        Verdict::Success | Verdict::Failure => {
            let head = answered.head.clone();
            let Some(body) = whole(gateway, job, answered).await else {
                flight.note(Outcome::Broken, "the answer broke off");
                gateway.suspect(job, &flight.placement().server);
                return Ended::Failed(None);
            };
            finish(gateway, job, flight, verdict, &head, body)
        }
    }
}

/// Reads the rest of an answer; returns none when it breaks off or is late.
async fn whole(gateway: &Gateway, job: &Job, answered: Answered) -> Option<Bytes> {
    let Answered { connection, answer, body, .. } = answered;
    let reading = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let collected = timeout_at(gateway.instant(job.end), reading).await;
    match collected {
        Ok(Ok(body)) => {
            send::keep(gateway, connection, &answer, gateway.now());
            Some(body.to_bytes())
        }
        Ok(Err(error)) => {
            info!(target: "request", id = job.ask.id, error:%; "an answer broke off");
            None
        }
        Err(_) => {
            info!(target: "request", id = job.ask.id; "an answer was not whole in time");
            None
        }
    }
}

/// Ends a try whose whole answer is here.
fn finish(
    gateway: &Rc<Gateway>,
    job: &Rc<Job>,
    flight: Flight,
    verdict: Verdict,
    head: &hyper::http::response::Parts,
    body: Bytes,
) -> Ended {
    let headers = gateway.dialect().answer_headers(&head.headers);
    if verdict == Verdict::Success {
        flight.done(head.status);
        gateway.suspects().borrow_mut().clear(job.fingerprint);
        return Ended::Final(reply::answer(head.status, headers, reply::whole(body)));
    }
    flight.failed(head.status);
    if promises_not_run(head.status) {
        return Ended::Failed(None);
    }
    Ended::Failed(Some(reply::answer(head.status, headers, reply::whole(body))))
}

/// Tells whether a status says that the request has not run, which only a proof allows.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
