use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::table::Distance;

/// Why a runner was picked.
#[derive(Debug, Clone, Copy, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Its turn came.
    Turn,
    /// It has the fewest outstanding requests of this daemon.
    FewestOutstanding {
        /// The requests outstanding.
        outstanding: u32,
    },
    /// It was the less loaded of two drawn at random.
    LessOfTwo {
        /// Requests outstanding there.
        outstanding: u32,
        /// Requests outstanding at the other one.
        other: u32,
    },
    /// It has the lowest estimated cost among the engines for this size.
    LowestCost {
        /// The estimate.
        cost: Duration,
        /// How far the runner is.
        distance: Distance,
    },
    /// It lends room to a size that other engines are set aside for.
    Borrowed {
        /// The estimate.
        cost: Duration,
        /// Largest prompt of the engines for short ones.
        cutoff: Tokens,
    },
    /// It holds a prefix of the prompt, and its load is within the bound.
    Prefix {
        /// Tokens believed cached.
        cached: Tokens,
    },
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name: &'static str = self.into();
        match self {
            Self::Turn => f.write_str(name),
            Self::FewestOutstanding { outstanding } => {
                write!(f, "{name} outstanding={outstanding}")
            }
            Self::LessOfTwo { outstanding, other } => {
                write!(f, "{name} outstanding={outstanding} other={other}")
            }
            Self::LowestCost { cost, distance } => {
                write!(f, "{name} cost={cost:?} distance={distance}")
            }
            Self::Borrowed { cost, cutoff } => write!(f, "{name} cost={cost:?} cutoff={cutoff}"),
            Self::Prefix { cached } => write!(f, "{name} cached={cached}"),
        }
    }
}
