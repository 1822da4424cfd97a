use kumquattiller_base::place;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A region and its availability zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The region.
    pub region: place::Region,
    /// Its availability zones.
    pub zones: Vec<place::Zone>,
}
