use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use futures::TryStreamExt;
use futures::stream;
use kumquattiller_inventory::section::Items;
use kumquattiller_inventory::shard::Corrupt;
use kumquattiller_inventory::shard::Manifest;
use kumquattiller_inventory::shard::Object;
use kumquattiller_inventory::shard::assemble;
use kumquattiller_rollout::commit::Stored;

use crate::platform;
use crate::platform::Condition;

/// Kind of the object that holds the manifest.
pub const MANIFEST_KIND: &str = "configuration";
/// Name of the object that holds the manifest.
const MANIFEST_NAME: &str = "manifest";
/// Kind of the objects that hold shards.
const SHARD_KIND: &str = "configuration-shards";
/// Maximum number of concurrent calls for shards.
const MAX_CONCURRENT_CALLS: usize = 8;

/// An error while reading a configuration.
#[derive(Debug)]
pub enum Error {
    /// A call to the platform failed.
    Platform(platform::Error),
    /// The shards do not match the manifest.
    Corrupt(Corrupt),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Corrupt(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Self {
        Self::Platform(error)
    }
}

/// The accepted configuration in the platform's store: a manifest and its shards.
#[derive(Debug, Clone)]
pub struct Store {
    platform: platform::Client,
}

impl Store {
    /// Creates a store that is accessed through `platform`.
    pub const fn new(platform: platform::Client) -> Self {
        Self { platform }
    }

    /// Reads the manifest, which is empty before the first commit.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn manifest(&self) -> Result<Stored, platform::Error> {
        let found = self.platform.get::<Manifest>(MANIFEST_KIND, MANIFEST_NAME).await?;
        Ok(found.map_or_else(Stored::default, |stored| Stored {
            store_version: Some(stored.version),
            manifest: stored.value,
        }))
    }

    /// Waits for at most `wait` for a change of the manifest after store version `after`.
    ///
    /// Returns the store version to pass to the next watch, and the manifest if it changed. The
    /// version is `None` when the caller has to read the manifest again, because changes have
    /// expired or the new manifest cannot be deserialized.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<(Option<u64>, Option<Manifest>), platform::Error> {
        let changes = self.platform.watch(MANIFEST_KIND, after, wait).await?;
        if changes.expired {
            return Ok((None, None));
        }
        let last = changes.changes.into_iter().rev().find(|change| change.name == MANIFEST_NAME);
        let Some(value) = last.and_then(|change| change.value) else {
            return Ok((Some(changes.version), None));
        };
        let manifest = serde_json::from_value(value).ok();
        Ok((manifest.is_some().then_some(changes.version), manifest))
    }

    /// Reads shards by name; the result leaves out shards that do not exist.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn shards(
        &self,
        names: Vec<String>,
    ) -> Result<BTreeMap<String, Object>, platform::Error> {
        let reads = stream::iter(names).map(|name| async move {
            let found = self.platform.get::<Object>(SHARD_KIND, &name).await?;
            Ok::<_, platform::Error>(found.map(|stored| (name, stored.value)))
        });
        let found: Vec<Option<(String, Object)>> =
            reads.buffer_unordered(MAX_CONCURRENT_CALLS).try_collect().await?;
        Ok(found.into_iter().flatten().collect())
    }

    /// Reads all items of the version that a manifest describes.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond or shards are missing or corrupt.
    pub async fn items(&self, manifest: &Manifest) -> Result<Items, Error> {
        let names = manifest.shard_names().map(str::to_owned).collect();
        let shards = self.shards(names).await?;
        assemble(manifest, &shards).map_err(Error::Corrupt)
    }

    /// Writes shards.
    ///
    /// A shard that already exists is not an error, because equal names imply equal content.
    ///
    /// # Errors
    ///
    /// Fails when a call fails; some of the shards may have been written.
    pub async fn write_shards(
        &self,
        shards: &BTreeMap<String, Object>,
    ) -> Result<(), platform::Error> {
        let writes = stream::iter(shards).map(|(name, shard)| async move {
            match self.platform.put(SHARD_KIND, name, Condition::Absent, shard).await {
                Ok(_) | Err(platform::Error::Conflict) => Ok(()),
                Err(error) => Err(error),
            }
        });
        writes.buffer_unordered(MAX_CONCURRENT_CALLS).try_collect().await
    }

    /// Writes the manifest if its store version is `condition`, or, with `None`, if it does not
    /// exist.
    ///
    /// # Errors
    ///
    /// Fails when the condition does not hold or the platform does not respond.
    pub async fn update(
        &self,
        condition: Option<u64>,
        manifest: &Manifest,
    ) -> Result<(), platform::Error> {
        let condition = condition.map_or(Condition::Absent, Condition::Version);
        self.platform.put(MANIFEST_KIND, MANIFEST_NAME, condition, manifest).await.map(|_| ())
    }
}
