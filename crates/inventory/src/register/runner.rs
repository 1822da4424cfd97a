use std::net::SocketAddr;

use kumquattiller_base::place;
use kumquattiller_base::runner;
use kumquattiller_base::service;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A runner: a backend server and the process beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Its id.
    pub id: runner::Id,
    /// The service that it belongs to.
    pub service: service::Name,
    /// The availability zone that it is in.
    pub zone: place::Zone,
    /// Where its process listens for links, IP and port.
    pub address: SocketAddr,
}
