use crate::Daemon;
use crate::reservation;

/// The owner of an item, which keeps it from being freed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Owner {
    /// An entry daemon.
    Daemon(Daemon),
    /// A reservation, whose tokens cover the item.
    Reservation(reservation::Id),
}
