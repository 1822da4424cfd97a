/// Why a table refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The engine's memory, or the reservation, has no room.
    Full,
    /// The reservation does not exist or has expired.
    UnknownReservation,
    /// The item exists and has another owner.
    Taken,
    /// The item does not exist or is being released.
    UnknownItem,
}

impl std::error::Error for Refusal {}
