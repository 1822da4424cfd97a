use kumquattiller_base::place::Zone;

/// How a complete list of the evacuated zones differs from the one before.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Difference {
    /// Zones that are evacuated now and were not before.
    pub added: Vec<Zone>,
    /// Zones that are no longer evacuated.
    pub removed: Vec<Zone>,
}
