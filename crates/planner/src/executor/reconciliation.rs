use kumquattiller_dialect::engine;

/// Result of comparing the engine's state with the order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reconciliation {
    /// Command to send to the engine next, if any.
    pub order: Option<engine::Order>,
    /// Whether the engine had reached its target and was then changed by something else.
    pub drifted: bool,
}
