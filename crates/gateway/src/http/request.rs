use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use kumquattiller_base::account;
use kumquattiller_base::time::Moment;

use crate::config::Route;
use crate::config::Service;
use crate::config::Version;
use crate::dialect::RequestInfo;
use crate::regions::Allowed;
use crate::suspect::Feature;

/// An admitted request from a caller.
#[derive(Debug)]
pub struct Request {
    /// Request metadata parsed from the head.
    pub metadata: RequestInfo,
    /// Version of the configuration under which it was admitted.
    pub version: Version,
    /// The route that matched.
    pub route: Rc<Route>,
    /// The service that the route selected.
    pub service: Rc<Service>,
    /// The client account.
    pub account: Option<account::Id>,
    /// Regions in which it may run.
    pub regions: Allowed,
    /// Priority from the client account or the route; 0 is the highest.
    pub priority: u8,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// What may make it crash servers.
    pub features: Vec<Feature>,
    /// When the head was read.
    pub arrived: Moment,
    /// When the timeout of the caller or of the route expires, whichever is first.
    pub deadline: Moment,
}

impl Request {
    /// Returns the time until the deadline.
    pub fn time_left(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }
}
