use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Difference;

/// How a commit ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The configuration was accepted as this version.
    Accepted(Version),
    /// The store already holds the same configuration, as this version.
    Unchanged(Version),
    /// Another operator updated the manifest first; this commit changed nothing.
    Conflict {
        /// The version that the other operator committed.
        version: Version,
        /// Changes by other operators since this commit first read the store.
        difference: Difference,
    },
    /// Calls to the store failed too often; the accepted configuration was not changed.
    Unavailable,
    /// The update was sent, but the store could not be read back to learn whether it took effect.
    Unknown,
    /// The shards in the store do not match the manifest.
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
