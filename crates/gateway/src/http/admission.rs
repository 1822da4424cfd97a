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
use log::info;
use tokio::time::timeout;

use crate::Gateway;
use crate::config::Account;
use crate::config::Config;
use crate::config::Denied;
use crate::config::Route;
use crate::config::Service;
use crate::dialect::RequestInfo;
use crate::http::Refusal;
use crate::http::Request;
use crate::http::outage_retry_delay;
use crate::regions::Allowed;
use crate::suspect::Feature;

/// Fraction of the caller's timeout for which a request waits while a daemon that has just started
/// loads its configuration and servers. Without the wait, a caller that retries only once would be
/// refused for good.
const STARTUP_WAIT_FRACTION: f64 = 0.2;
/// Timeout assumed for a caller that states none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry delay when the configuration names a service but does not define it.
const NO_SERVICE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Admits a request: finds its route, client account and service, and reads its body.
///
/// # Errors
///
/// Fails with the refusal for the caller if no route, account or service matches, if the daemon is
/// stopping or if the body cannot be read.
pub async fn admit(
    gateway: &Rc<Gateway>,
    metadata: &RequestInfo,
    head: Parts,
    body: Incoming,
    arrived: Moment,
) -> Result<Request, Refusal> {
    let caller_timeout = metadata.timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    gateway.wait_until_loaded(caller_timeout.mul_f64(STARTUP_WAIT_FRACTION)).await;
    let Some(config) = gateway.config().filter(|_| gateway.knows_evacuations()) else {
        return Err(refuse(Kind::NoConfiguration, outage_retry_delay(rand::random())));
    };
    let host = head.uri.host().or_else(|| head.headers.get(header::HOST)?.to_str().ok());
    let (route, account) = match authorize(&config, host, head.uri.path(), metadata.key.as_deref())
    {
        Ok(authorized) => authorized,
        Err(_) if gateway.is_config_outdated() => {
            return Err(refuse(Kind::NoConfiguration, outage_retry_delay(rand::random())));
        }
        Err(Denied::NoRoute) => return Err(Refusal::rejected(Kind::NotFound)),
        Err(Denied::UnknownKey) => return Err(Refusal::rejected(Kind::UnknownAccount)),
    };
    let account_regions = account.as_ref().map(|a| a.regions.as_slice()).unwrap_or_default();
    let regions = match Allowed::of(&route.regions, account_regions) {
        Ok(regions) => regions,
        Err(_) if gateway.is_config_outdated() => {
            return Err(refuse(Kind::NoConfiguration, outage_retry_delay(rand::random())));
        }
        Err(reason) => {
            info!(target: "request", id = metadata.id, route = route.name, reason:%; "not allowed");
            return Err(Refusal::rejected(Kind::RegionNotAllowed));
        }
    };
    let service = route.service(rand::random()).and_then(|name| config.service(name)).cloned();
    let Some(service) = service else {
        return Err(refuse(Kind::NoRunner, NO_SERVICE_RETRY_DELAY));
    };
    let time_limit = metadata.timeout.unwrap_or(route.timeout).min(route.timeout);
    if !gateway.accepts(expected_duration(gateway, metadata, &service, time_limit)) {
        return Err(refuse_stopping(gateway));
    }
    let body = match read_body(body, &config, time_limit).await {
        Ok(body) => body,
        Err(kind) => return Err(Refusal::rejected(kind)),
    };
    let fingerprint = fingerprint(account.as_ref().map(|a| &a.id), head.uri.path(), &body);
    let features = Feature::of_request(fingerprint, &metadata.shared_parts());
    Ok(Request {
        metadata: metadata.clone(),
        version: config.version(),
        service,
        priority: account.as_ref().and_then(|a| a.priority).unwrap_or(route.priority),
        account: account.map(|a| a.id),
        regions,
        method: head.method,
        route,
        uri: path_and_query(&head.uri),
        headers: head.headers,
        body,
        features,
        arrived,
        deadline: arrived + time_limit,
    })
}

/// Returns the first attempt of a request, for which nothing has been sent yet.
pub fn new_attempt() -> Attempt<Unsent> {
    Attempt::first(request::Id::from_u128(rand::random()))
}

/// Returns how long a request is expected to run. For an engine this is the time to prefill the
/// prompt and to generate the longest response on an otherwise idle engine, at most `time_limit`.
/// Any other request is expected to take as long as the longest recent one of its service.
fn expected_duration(
    gateway: &Gateway,
    metadata: &RequestInfo,
    service: &Service,
    time_limit: Duration,
) -> Duration {
    let (Some(profile), Some(prompt)) = (&service.engine, &metadata.prompt) else {
        return time_limit.min(gateway.expected_plain_time(&service.name));
    };
    let decode_ms = prompt.max_output.get() as f64 * profile.step_ms;
    Duration::from_secs_f64((profile.prefill_ms(prompt.tokens) + decode_ms) / 1e3).min(time_limit)
}

/// Returns the refusal of a request that arrives too late at a stopping daemon.
pub fn refuse_stopping(gateway: &Gateway) -> Refusal {
    refuse(Kind::Stopping, gateway.stop_retry_delay())
}

/// Refuses a request for which nothing has been sent.
fn refuse(kind: Kind, retry_after: Duration) -> Refusal {
    match new_attempt().not_started() {
        Some(proof) => Refusal::not_run(proof, kind, retry_after),
        None => Refusal::may_have_run(kind),
    }
}

fn authorize(
    config: &Config,
    host: Option<&str>,
    path: &str,
    key: Option<&str>,
) -> Result<(Rc<Route>, Option<Account>), Denied> {
    let route = config.route(host.unwrap_or_default(), path)?;
    let account = config.account(&route, key)?;
    Ok((route, account))
}

/// Reads the whole body, within the size limit and `time_limit`.
async fn read_body(body: Incoming, config: &Config, time_limit: Duration) -> Result<Bytes, Kind> {
    let limit = config.limits().body.get() as usize;
    match timeout(time_limit, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::BodyTooLarge),
        Ok(Err(error)) => {
            log::info!(target: "request", error:%; "failed to read a request body");
            Err(Kind::MalformedBody)
        }
        Err(_) => Err(Kind::DeadlineExceeded),
    }
}

/// Returns the fingerprint of a request. Requests without a client account have the same
/// fingerprint for each path, whatever their bodies.
fn fingerprint(account: Option<&account::Id>, path: &str, body: &[u8]) -> Fingerprint {
    match account {
        Some(account) => Fingerprint::of(account, path, body),
        None => Fingerprint::new(u128::from(xxhash_rust::xxh3::xxh3_64(path.as_bytes()))),
    }
}

/// Returns the path and query of a request, without scheme and host.
fn path_and_query(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}
