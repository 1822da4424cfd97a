use std::collections::BTreeMap;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::Item;

/// The items that an engine reports to hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observation {
    /// When the list was requested from the engine; later changes may be missing.
    pub asked: Moment,
    /// The items with the KV memory that each holds, in tokens.
    pub items: BTreeMap<Item, Tokens>,
}
