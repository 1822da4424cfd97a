use kumquattiller_base::service;

use crate::engine::Profile;

/// A service, which is provided by a group of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: service::Name,
    /// Performance profile of its engines; `None` for a plain service.
    pub engine: Option<Profile>,
}
