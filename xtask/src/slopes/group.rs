use crate::Failure;
use crate::fleet::Programs;
use crate::slopes::measure;
use crate::slopes::series::Series;

/// A group of series that are measured together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Group {
    /// Sizes of objects in the store.
    Store,
    /// Memory of a configuration.
    Held,
    /// An entry daemon and its links.
    Links,
    /// An entry daemon and its client accounts.
    Accounts,
    /// Entry daemons beside each other.
    Daemons,
    /// Requests a second.
    Rate,
}

impl Group {
    /// Measures the group.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start.
    pub async fn measure(self, programs: &Programs) -> Result<Vec<Series>, Failure> {
        match self {
            Self::Store => measure::configuration(),
            Self::Held => measure::held(),
            Self::Links => measure::links(programs).await,
            Self::Accounts => measure::accounts(programs).await,
            Self::Daemons => measure::daemons(programs).await,
            Self::Rate => measure::rate(programs).await,
        }
    }
}
