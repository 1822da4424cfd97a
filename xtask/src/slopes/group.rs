use crate::Error;
use crate::fleet::Programs;
use crate::slopes::measure;
use crate::slopes::series::Series;

/// A group of series that are measured in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Group {
    /// Sizes of the configuration objects in the store.
    Store,
    /// Memory of a process that holds a configuration.
    Held,
    /// Costs of an entry daemon by the number of its links.
    Links,
    /// Costs of an entry daemon by the number of client accounts.
    Accounts,
    /// Costs of entry daemons by their number.
    Daemons,
    /// Costs by the rate of requests.
    Rate,
}

impl Group {
    /// Measures all series of the group.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or a measurement fails.
    pub async fn measure(self, programs: &Programs) -> Result<Vec<Series>, Error> {
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
