//! Macros that declare newtypes with `Display`, `FromStr` and serde implementations.

/// Declares a newtype over a number whose `Display` appends a unit.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty), $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize, schemars::JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// The value zero.
            pub const ZERO: Self = Self(0);
            /// The largest value.
            pub const MAX: Self = Self(<$inner>::MAX);

            /// Creates the value from a plain number.
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the plain number.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Adds, saturating at the largest value.
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts, saturating at zero.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            /// Parses the number, with or without its unit.
            ///
            /// # Errors
            ///
            /// Fails when the text is not a whole number in range.
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.strip_suffix($unit).unwrap_or(text).trim().parse().map(Self)
            }
        }

        impl From<$inner> for $name {
            fn from(value: $inner) -> Self {
                Self(value)
            }
        }
    };
}

/// Declares a newtype over a name made of letters, digits, `-`, `_` and `.`.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize, schemars::JsonSchema,
        )]
        #[serde(try_from = "String", into = "String")]
        #[schemars(with = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::newtype::InvalidName;

            /// Parses a name.
            ///
            /// # Errors
            ///
            /// Fails when the name is empty, too long or contains a character that is not allowed.
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::newtype::check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::newtype::InvalidName;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

pub(crate) use name;
pub(crate) use number;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidName(String);

impl std::fmt::Display for InvalidName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "name {:?} must be 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, '-', '_', '.'", self.0)
    }
}

impl std::error::Error for InvalidName {}

/// Checks that `text` is a valid name.
pub(crate) fn check(text: &str) -> Result<(), InvalidName> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(allowed) {
        return Err(InvalidName(text.to_owned()));
    }
    Ok(())
}
