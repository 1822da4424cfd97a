use kumquattiller_base::service;
use kumquattiller_base::size::Tokens;

use crate::config::ColdStart;
use crate::engine::Profile;

/// A service, which is provided by a group of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: service::Name,
    /// Performance profile of its engines; `None` for a plain service.
    pub engine: Option<Profile>,
    /// How its servers behave after their start; `None` if they take any rate at once.
    pub cold_start: Option<ColdStart>,
    /// Capacity of the prefix cache of each of its engines; `None` if they keep no prefixes.
    pub prefix_cache: Option<Tokens>,
}
