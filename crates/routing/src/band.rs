//! Classes of prompts by size.

use kumquattiller_base::size::Tokens;

/// Largest prompt in the band [`Band::UpTo8k`].
pub const SHORT_TOKENS: Tokens = Tokens::new(8_000);

/// Largest prompt in the band [`Band::From8kTo100k`].
pub const MIDDLE_TOKENS: Tokens = Tokens::new(100_000);

/// Size class of a prompt.
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
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
pub enum Band {
    /// At most 8,000 tokens.
    #[strum(serialize = "up_to_8k")]
    UpTo8k,
    /// Over 8,000 and at most 100,000 tokens.
    #[strum(serialize = "8k_to_100k")]
    From8kTo100k,
    /// Over 100,000 tokens.
    #[strum(serialize = "over_100k")]
    Over100k,
}

impl Band {
    /// Returns the band of a prompt of the given size.
    pub fn of(prompt: Tokens) -> Self {
        if prompt <= SHORT_TOKENS {
            Self::UpTo8k
        } else if prompt <= MIDDLE_TOKENS {
            Self::From8kTo100k
        } else {
            Self::Over100k
        }
    }

    /// Returns the priority passed to the engine; lower values run first.
    pub const fn priority(self) -> u32 {
        match self {
            Self::UpTo8k => 0,
            Self::From8kTo100k => 1,
            Self::Over100k => 2,
        }
    }
}
