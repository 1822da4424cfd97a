use kumquattiller_base::service;

use crate::engine::Profile;

/// A service of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: service::Name,
    /// How its engines work; none for a plain service.
    pub engine: Option<Profile>,
}
