use serde::Deserialize;
use serde::Serialize;

/// Answer to `GET /vms`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// VMs that live or are leaving, as of some seconds ago.
    pub vms: Vec<Vm>,
}

/// A VM of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name, the same as the daemon's or runner's id.
    pub name: String,
    /// Address of the link port, IP and port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// `entry` or `runner`.
    pub role: String,
    /// Whether it lives or leaves.
    pub phase: Phase,
}

/// Whether a VM lives or leaves.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// In service.
    Live,
    /// About to stop.
    Leaving,
}
