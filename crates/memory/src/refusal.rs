/// Why a table refuses an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The engine's memory or the reservation has no room.
    Full,
    /// The reservation does not exist or has expired.
    UnknownReservation,
    /// The item exists, or the reservation exists with another daemon or size.
    Taken,
    /// The item does not exist or is being released.
    UnknownItem,
}

impl std::error::Error for Refusal {}
