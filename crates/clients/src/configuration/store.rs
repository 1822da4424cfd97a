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
/// Calls for shards that are under way at a time.
const PARALLEL_CALLS: usize = 8;

/// A configuration that could not be read.
#[derive(Debug)]
pub enum Error {
    /// A call failed.
    Platform(platform::Error),
    /// The shards do not make up the version that the manifest names.
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

/// The objects of the store that make up the accepted configuration.
#[derive(Debug, Clone)]
pub struct Store {
    platform: platform::Client,
}

impl Store {
    /// Uses the platform behind a client.
    pub const fn new(platform: platform::Client) -> Self {
        Self { platform }
    }

    /// Reads the manifest; before the first commit that is the empty one.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn manifest(&self) -> Result<Stored, platform::Error> {
        let found = self.platform.get::<Manifest>(MANIFEST_KIND, MANIFEST_NAME).await?;
        Ok(found.map_or_else(Stored::default, |stored| Stored {
            store_version: Some(stored.version),
            manifest: stored.value,
        }))
    }

    /// Waits at most `wait` for a change of the manifest after a version of the store.
    ///
    /// Returns the store's version to watch after next and the manifest when it changed. `None`
    /// in place of the version asks for a new read of the manifest.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
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

    /// Reads shards by name; those that do not exist are left out.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn shards(
        &self,
        names: Vec<String>,
    ) -> Result<BTreeMap<String, Object>, platform::Error> {
        let reads = stream::iter(names).map(|name| async move {
            let found = self.platform.get::<Object>(SHARD_KIND, &name).await?;
            Ok::<_, platform::Error>(found.map(|stored| (name, stored.value)))
        });
        let found: Vec<Option<(String, Object)>> =
            reads.buffer_unordered(PARALLEL_CALLS).try_collect().await?;
        Ok(found.into_iter().flatten().collect())
    }

    /// Reads all items of a manifest's version.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or shards are missing or altered.
    pub async fn items(&self, manifest: &Manifest) -> Result<Items, Error> {
        let names = manifest.shard_names().map(str::to_owned).collect();
        let shards = self.shards(names).await?;
        assemble(manifest, &shards).map_err(Error::Corrupt)
    }

    /// Writes shards; one that exists already has the same content by its name.
    ///
    /// # Errors
    ///
    /// Fails when a call fails; some of the shards may be written.
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
        writes.buffer_unordered(PARALLEL_CALLS).try_collect().await
    }

    /// Writes the manifest when its store version is still `condition`.
    ///
    /// # Errors
    ///
    /// Fails when the condition does not hold or the platform does not answer.
    pub async fn update(
        &self,
        condition: Option<u64>,
        manifest: &Manifest,
    ) -> Result<(), platform::Error> {
        let condition = condition.map_or(Condition::Absent, Condition::Version);
        self.platform.put(MANIFEST_KIND, MANIFEST_NAME, condition, manifest).await.map(|_| ())
    }
}
