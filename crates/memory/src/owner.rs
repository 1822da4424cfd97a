use crate::Daemon;
use crate::reservation;

/// Who answers for an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Owner {
    /// An entry daemon.
    Daemon(Daemon),
    /// A reservation, whose tokens cover the item.
    Reservation(reservation::Id),
}
