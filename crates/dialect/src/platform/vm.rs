use serde::Deserialize;
use serde::Serialize;

/// Response to `GET /vms`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// VMs that are live or leaving; the list is some seconds out of date.
    pub vms: Vec<Vm>,
}

/// A VM of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name, which is also the id of the daemon or runner on it.
    pub name: String,
    /// IP address and port for links.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Role: `entry` or `runner`.
    pub role: String,
    /// Phase in the VM's life cycle.
    pub phase: Phase,
}

/// Phase in a VM's life cycle.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// In service.
    Live,
    /// Shutting down.
    Leaving,
}
