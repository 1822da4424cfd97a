use std::collections::HashMap;
use std::rc::Rc;

use kumquattiller_base::account;
use kumquattiller_base::service;

use crate::config::Limits;
use crate::config::Route;
use crate::config::Service;
use crate::config::Version;

/// Why the configuration does not allow a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Denied {
    /// No route has the host and path.
    NoRoute,
    /// The API key is missing or belongs to no client account.
    UnknownKey,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its id.
    pub id: account::Id,
    /// Its rank, which goes before that of the route; 0 goes first.
    pub priority: Option<u8>,
}

/// One version of the configuration, ready for look-ups.
#[derive(Debug, Default)]
pub struct Config {
    version: Version,
    limits: Limits,
    /// Routes of a host, longest prefix first.
    routes: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<service::Name, Rc<Service>>,
    accounts: HashMap<String, Account>,
    keys_required: bool,
}

impl Config {
    /// Builds the tables of a version. `accounts` maps API keys to client accounts; none means
    /// that no request needs a key.
    pub fn new(
        version: Version,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Option<HashMap<String, Account>>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Rc::new(s))).collect();
        Self {
            version,
            limits,
            routes: by_host,
            services,
            keys_required: accounts.is_some(),
            accounts: accounts.unwrap_or_default(),
        }
    }

    /// Returns the version.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits of callers.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Finds the route of a request. `host` may carry a port.
    ///
    /// # Errors
    ///
    /// Fails when no route has the host and a prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Result<Rc<Route>, Denied> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self.routes.get(&host).ok_or(Denied::NoRoute)?;
        routes.iter().find(|r| path.starts_with(&r.prefix)).cloned().ok_or(Denied::NoRoute)
    }

    /// Finds the client account of a request; none where the route needs no key and the request
    /// has none that is known.
    ///
    /// # Errors
    ///
    /// Fails when the route needs a key and the request has none that is known.
    pub fn account(&self, route: &Route, key: Option<&str>) -> Result<Option<Account>, Denied> {
        let account = key.and_then(|key| self.accounts.get(key)).cloned();
        if account.is_none() && self.keys_required && !route.public {
            return Err(Denied::UnknownKey);
        }
        Ok(account)
    }

    /// Returns a service.
    pub fn service(&self, name: &service::Name) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
