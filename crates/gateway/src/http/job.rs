use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use kumquattiller_base::account;
use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::time::Moment;

use crate::config::Route;
use crate::config::Service;
use crate::config::Version;
use crate::dialect::RequestInfo;

/// A request that was admitted.
#[derive(Debug)]
pub struct Job {
    /// What the caller asks.
    pub ask: RequestInfo,
    /// The version of the configuration that admitted it.
    pub version: Version,
    /// Its route.
    pub route: Rc<Route>,
    /// Its service.
    pub service: Rc<Service>,
    /// Its client account.
    pub account: Option<account::Id>,
    /// Its rank; 0 goes first.
    pub rank: u8,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, as the caller sent them.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// Recognises it when it comes again.
    pub fingerprint: Fingerprint,
    /// When its head was read.
    pub arrived: Moment,
    /// When its caller or its route stops waiting.
    pub end: Moment,
}

impl Job {
    /// Returns the time that is left.
    pub fn left(&self, now: Moment) -> Duration {
        self.end.since(now)
    }
}
