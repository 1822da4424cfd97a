//! The two deployments at their current sizes.

use std::time::Duration;

/// A deployment.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Deployment {
    /// Bayanihan Gas Distribution Corporation: hotline summaries beside reviews of case files.
    Bayanihan,
    /// Addis Ketema Childcare Billing Authority: invoice drafts beside reconciliations.
    AddisKetema,
}

impl Deployment {
    /// Returns the number of language model runners.
    pub const fn runners(self) -> usize {
        match self {
            Self::Bayanihan => 15,
            Self::AddisKetema => 25,
        }
    }

    /// Returns the number of availability zones, each with one entry daemon.
    pub const fn zones(self) -> usize {
        3
    }

    /// Returns the one-way latency between availability zones.
    pub const fn zone_latency(self) -> Duration {
        match self {
            Self::Bayanihan => Duration::from_micros(500),
            Self::AddisKetema => Duration::from_millis(1),
        }
    }

    /// Returns the one-way latency between a caller and an entry daemon.
    pub const fn client_latency(self) -> Duration {
        Duration::from_millis(3)
    }
}
