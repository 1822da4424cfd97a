use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request::Parts;
use kumquattiller_base::account;
use kumquattiller_base::attempt::Attempt;
use kumquattiller_base::attempt::Unsent;
use kumquattiller_base::error::Kind;
use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::request;
use kumquattiller_base::time::Moment;
use tokio::time::timeout;

use crate::Gateway;
use crate::config::Account;
use crate::config::Config;
use crate::config::Denied;
use crate::config::Route;
use crate::config::Service;
use crate::dialect::RequestInfo;
use crate::http::Job;
use crate::http::Refusal;
use crate::http::outage_retry;

/// Part of its caller's time that a request waits for a daemon that has just started to learn its
/// configuration and servers: a caller that tries once more only is not turned away for good.
const START_WAIT_PART: f64 = 0.2;
/// How long a caller waits that does not say so.
const USUAL_PATIENCE: Duration = Duration::from_secs(5);
/// When to come again where the configuration names a service without saying anything of it.
const NO_SERVICE_RETRY: Duration = Duration::from_secs(1);

/// Admits a request: finds its route and client account and reads its body.
pub async fn admit(
    gateway: &Rc<Gateway>,
    ask: &RequestInfo,
    head: Parts,
    body: Incoming,
    arrived: Moment,
) -> Result<Job, Refusal> {
    let patience = ask.timeout.unwrap_or(USUAL_PATIENCE);
    gateway.wait_known(patience.mul_f64(START_WAIT_PART)).await;
    let Some(config) = gateway.config() else {
        return Err(refuse(Kind::NoConfiguration, outage_retry(rand::random())));
    };
    let host = head.uri.host().or_else(|| head.headers.get(header::HOST)?.to_str().ok());
    let (route, account) = match allow(&config, host, head.uri.path(), ask.key.as_deref()) {
        Ok(allowed) => allowed,
        Err(Denied::NoRoute) => return Err(Refusal::denied(Kind::NotFound)),
        Err(Denied::UnknownKey) => return Err(Refusal::denied(Kind::UnknownAccount)),
    };
    let service = route.service(rand::random()).and_then(|name| config.service(name)).cloned();
    let Some(service) = service else {
        return Err(refuse(Kind::NoRunner, NO_SERVICE_RETRY));
    };
    let span = ask.timeout.unwrap_or(route.timeout).min(route.timeout);
    if !gateway.takes(expected(ask, &service, span)) {
        return Err(refuse(Kind::Stopping, gateway.stop_retry()));
    }
    let body = match read(body, &config, span).await {
        Ok(body) => body,
        Err(kind) => return Err(Refusal::denied(kind)),
    };
    let fingerprint = fingerprint(account.as_ref().map(|a| &a.id), head.uri.path(), &body);
    Ok(Job {
        ask: ask.clone(),
        version: config.version(),
        service,
        rank: account.as_ref().and_then(|a| a.priority).unwrap_or(route.priority),
        account: account.map(|a| a.id),
        method: head.method,
        route,
        uri: target(&head.uri),
        headers: head.headers,
        body,
        fingerprint,
        arrived,
        end: arrived + span,
    })
}

/// Returns an attempt that nothing was sent for yet.
pub fn attempt() -> Attempt<Unsent> {
    Attempt::first(request::Id::from_u128(rand::random()))
}

/// Returns how long a request is expected to last: a stream as its longest answer is written at
/// an engine with other work, any other one as long as its caller waits.
fn expected(ask: &RequestInfo, service: &Service, span: Duration) -> Duration {
    let (Some(profile), Some(prompt)) = (&service.engine, &ask.prompt) else {
        return span.min(Duration::from_secs(1));
    };
    let write_ms = prompt.answer.get() as f64 * profile.step_ms;
    Duration::from_secs_f64((profile.prefill_ms(prompt.tokens) + write_ms) / 1e3).min(span)
}

fn refuse(kind: Kind, retry_after: Duration) -> Refusal {
    match attempt().not_started() {
        Some(proof) => Refusal::not_run(proof, kind, retry_after),
        None => Refusal::maybe_run(kind),
    }
}

fn allow(
    config: &Config,
    host: Option<&str>,
    path: &str,
    key: Option<&str>,
) -> Result<(Rc<Route>, Option<Account>), Denied> {
    let route = config.route(host.unwrap_or_default(), path)?;
    let account = config.account(&route, key)?;
    Ok((route, account))
}

/// Reads the whole body within the limits.
async fn read(body: Incoming, config: &Config, span: Duration) -> Result<Bytes, Kind> {
    let limit = config.limits().body.get() as usize;
    match timeout(span, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::BodyTooLarge),
        Ok(Err(error)) => {
            log::info!(target: "request", error:%; "a body broke off");
            Err(Kind::MalformedBody)
        }
        Err(_) => Err(Kind::DeadlineExceeded),
    }
}

fn fingerprint(account: Option<&account::Id>, path: &str, body: &[u8]) -> Fingerprint {
    match account {
        Some(account) => Fingerprint::of(account, path, body),
        None => Fingerprint::new(u128::from(xxhash_rust::xxh3::xxh3_64(path.as_bytes()))),
    }
}

/// Returns the path and query of a request, as it is sent on.
fn target(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}
