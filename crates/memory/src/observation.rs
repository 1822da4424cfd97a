use std::collections::BTreeMap;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::Item;

/// What an engine said that it holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observation {
    /// When the engine was asked; what changed later may be missing.
    pub asked: Moment,
    /// What it holds, with the sizes.
    pub items: BTreeMap<Item, Tokens>,
}
