use kumquattiller_base::size::Tokens;

/// Largest prompt of [`Band::UpTo8k`].
const SHORT_MAX: Tokens = Tokens::new(8_000);
/// Largest prompt of [`Band::From8kTo100k`].
const MEDIUM_MAX: Tokens = Tokens::new(100_000);

/// A band of prompt lengths.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
pub enum Band {
    /// Up to 8,000 tokens.
    #[strum(serialize = "up_to_8k")]
    UpTo8k,
    /// Over 8,000 and up to 100,000 tokens.
    #[strum(serialize = "8k_to_100k")]
    From8kTo100k,
    /// Over 100,000 tokens.
    #[strum(serialize = "over_100k")]
    Over100k,
}

impl Band {
    /// Returns the band of a prompt.
    pub fn of(prompt: Tokens) -> Self {
        if prompt <= SHORT_MAX {
            Self::UpTo8k
        } else if prompt <= MEDIUM_MAX {
            Self::From8kTo100k
        } else {
            Self::Over100k
        }
    }
}
