//! The regions in which requests may run, and the servers there.

use std::collections::BTreeSet;

use kumquattiller_base::place::Region;
use log::warn;

use crate::Gateway;
use crate::config::Config;
use crate::dialect::Helper;
use crate::fleet::Exclusion;
use crate::fleet::Server;
use crate::http::Request;

impl Gateway {
    /// Returns whether a request may run at a server, by the region of the server's zone. A server
    /// whose region is not known takes only requests that may run anywhere.
    pub(super) fn is_in_region(&self, request: &Request, server: &Server) -> bool {
        request.regions.is_any() || {
            let zone = server.zone.as_ref();
            request.regions.allows(zone.and_then(|zone| self.settings.regions.get(zone)))
        }
    }

    /// Returns why a request may not be sent to a server with these helpers now, also if they were
    /// chosen before; `None` if it may.
    pub fn withheld_from(
        &self,
        request: &Request,
        server: &Server,
        helpers: &[Helper],
    ) -> Option<Exclusion> {
        let exclusion = self.withheld(server).or_else(|| self.withheld_helper(helpers));
        exclusion.or_else(|| self.out_of_region(request, server, helpers))
    }

    fn out_of_region(
        &self,
        request: &Request,
        server: &Server,
        helpers: &[Helper],
    ) -> Option<Exclusion> {
        if request.regions.is_any() {
            return None;
        }
        let fleet = self.fleet.borrow();
        let mut servers = helpers.iter().map(|helper| fleet.server(fleet.at(helper.address)?));
        let are_helpers_inside =
            servers.all(|server| server.is_some_and(|server| self.is_in_region(request, server)));
        let is_inside = self.is_in_region(request, server) && are_helpers_inside;
        (!is_inside).then_some(Exclusion::OutOfRegion)
    }

    /// Logs the regions of a configuration in which there is no zone.
    pub(super) fn warn_of_unknown_regions(&self, config: &Config) {
        let known: BTreeSet<&Region> = self.settings.regions.values().collect();
        let named: BTreeSet<&Region> = config.regions().collect();
        for region in named.difference(&known) {
            warn!(
                target: "config", region:%, version:% = config.version();
                "the configuration allows a region in which there is no zone"
            );
        }
    }
}
