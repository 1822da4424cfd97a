use std::collections::HashMap;
use std::rc::Rc;

use kumquattiller_base::account;
use kumquattiller_base::place::Region;
use kumquattiller_base::service;

use crate::config::Limits;
use crate::config::Route;
use crate::config::Service;
use crate::config::Version;

/// Reason why the configuration does not allow a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Denied {
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or belongs to no client account.
    UnknownKey,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Id of the account.
    pub id: account::Id,
    /// Priority, which overrides that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// Regions in which the requests of the account may run; any if empty.
    pub regions: Vec<Region>,
}

/// One version of the configuration, indexed for look-ups.
#[derive(Debug, Default)]
pub struct Config {
    version: Version,
    limits: Limits,
    /// Routes by host, with the longest prefix first.
    routes: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<service::Name, Rc<Service>>,
    accounts: HashMap<String, Account>,
    keys_required: bool,
}

impl Config {
    /// Creates a version of the configuration. `accounts` maps API keys to client accounts; `None`
    /// means that no request needs a key.
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

    /// Returns the limits on callers' requests.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the route with the longest matching prefix. `host` may include a port.
    ///
    /// # Errors
    ///
    /// Returns [`Denied::NoRoute`] if no route has the host and a prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Result<Rc<Route>, Denied> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self.routes.get(&host).ok_or(Denied::NoRoute)?;
        routes.iter().find(|r| path.starts_with(&r.prefix)).cloned().ok_or(Denied::NoRoute)
    }

    /// Returns the client account of an API key, or `None` if the key is missing or unknown and the
    /// route does not require one.
    ///
    /// # Errors
    ///
    /// Returns [`Denied::UnknownKey`] if the route requires a key and the key is missing or
    /// unknown.
    pub fn account(&self, route: &Route, key: Option<&str>) -> Result<Option<Account>, Denied> {
        let account = key.and_then(|key| self.accounts.get(key)).cloned();
        if account.is_none() && self.keys_required && !route.public {
            return Err(Denied::UnknownKey);
        }
        Ok(account)
    }

    /// Returns a service by name.
    pub fn service(&self, name: &service::Name) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// Returns the regions that routes and client accounts allow.
    pub fn regions(&self) -> impl Iterator<Item = &Region> {
        let routes = self.routes.values().flatten().flat_map(|route| &route.regions);
        routes.chain(self.accounts.values().flat_map(|account| &account.regions))
    }

    /// Returns whether the servers of any service start cold.
    pub fn has_cold_starts(&self) -> bool {
        self.services.values().any(|service| service.cold_start.is_some())
    }

    /// Returns whether requests for a service differ in priority, by their routes or client accounts.
    pub fn has_priorities(&self, service: &service::Name) -> bool {
        let routes = self.routes.values().flatten();
        let routes = routes.filter(|r| r.targets.iter().any(|target| target.service == *service));
        let accounts = self.accounts.values().filter_map(|account| account.priority);
        let mut priorities = routes.map(|route| route.priority).chain(accounts);
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
