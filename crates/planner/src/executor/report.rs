use kumquattiller_dialect::engine;

/// What follows from the engine's state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// The next order to the engine.
    pub order: Option<engine::Order>,
    /// The engine had what was ordered and was changed by hand.
    pub drifted: bool,
}
