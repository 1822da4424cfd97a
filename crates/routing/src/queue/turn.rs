use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::queue::Patience;
use crate::queue::Reason;

/// What a waiting request does now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Turn {
    /// It is placed, if the servers have room.
    Try {
        /// How much it may cost others.
        patience: Patience,
        /// Memory that must remain for those who were promised it.
        reserve: Tokens,
    },
    /// It waits until the queue changes or until this moment.
    Wait {
        /// When to ask again at the latest.
        until: Moment,
    },
    /// It is refused.
    Refuse(Reason),
}
