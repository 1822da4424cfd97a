/// Kind of object of which a daemon holds a copy.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The configuration.
    Config,
    /// The registrations of the backend servers.
    Servers,
    /// The registrations of the daemons.
    Daemons,
    /// The evacuations of availability zones.
    Evacuations,
}
