use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Difference;

/// How a commit ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The configuration is accepted as this version.
    Accepted(Version),
    /// The store holds the same configuration already, as this version.
    Unchanged(Version),
    /// Another operator was first; nothing was changed by this commit.
    Conflict {
        /// The version that the other made.
        version: Version,
        /// What the other changed since this commit first read the store.
        difference: Difference,
    },
    /// The store could not be reached; nothing was changed.
    Unavailable,
    /// The update was sent and the store could not be read back.
    Unknown,
    /// The store's shards do not make up the version that its manifest names.
    Corrupt,
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Accepted(version) => write!(f, "accepted as version {version}"),
            Self::Unchanged(version) => write!(f, "no change; version {version} stands"),
            Self::Conflict { version, .. } => {
                write!(f, "conflict: another operator made version {version}; nothing was changed")
            }
            Self::Unavailable => f.write_str("the store is unavailable; nothing was changed"),
            Self::Unknown => f.write_str(
                "the store did not answer and could not be read back; \
                 whether the change was accepted is unknown",
            ),
            Self::Corrupt => f.write_str("the store's shards do not match its manifest"),
        }
    }
}
