use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::table::Distance;

/// Reason for picking a runner.
#[derive(Debug, Clone, Copy, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It was next in round-robin order.
    Turn,
    /// It has the fewest outstanding requests of this daemon.
    FewestOutstanding {
        /// Outstanding requests of this daemon at the runner.
        outstanding: u32,
    },
    /// It was the less loaded of two runners drawn at random.
    LessOfTwo {
        /// Requests running or waiting at the runner.
        outstanding: u32,
        /// Requests running or waiting at the other runner.
        other: u32,
    },
    /// It has the lowest estimated cost, and its engine is meant for this prompt size.
    LowestCost {
        /// The estimated cost.
        cost: Duration,
        /// Distance to the runner.
        distance: Distance,
    },
    /// It has the lowest estimated cost, although its engine is meant for other prompt sizes.
    Borrowed {
        /// The estimated cost.
        cost: Duration,
        /// Largest prompt of the engines that are not dedicated to long prompts.
        cutoff: Tokens,
    },
    /// It has the lowest estimated cost, and probably a prefix of the prompt cached.
    Prefix {
        /// Length of the prefix that is probably cached.
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
