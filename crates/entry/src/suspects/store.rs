use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use kumquattiller_clients::platform::Condition;
use kumquattiller_clients::platform::Error;
use kumquattiller_recovery::suspect::Document;
use tokio::time::sleep;

use crate::Daemon;

/// Kind of the store object that holds the records.
const OBJECT_KIND: &str = "suspects";
/// Name of the store object that holds the records.
const OBJECT_NAME: &str = "records";
/// Time between reads.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Longest random delay before a write, so that daemons that received the same report do not
/// write at the same time.
const MAX_JITTER_MS: u64 = 500;

/// Merges the records with those in the store: at startup, after local changes and at intervals.
pub async fn run(daemon: Daemon) {
    let mut has_changes = false;
    loop {
        match merge(&daemon, has_changes).await {
            Ok(()) => has_changes = false,
            Err(error) => log::debug!("failed to merge suspect records with the store: {error}"),
        }
        let jitter = Duration::from_millis(rand::random_range(0..MAX_JITTER_MS));
        tokio::select! {
            () = daemon.suspects().changed() => {
                has_changes = true;
                sleep(jitter).await;
            }
            () = sleep(if has_changes { jitter } else { READ_INTERVAL + jitter }) => {}
            () = daemon.stopped().cancelled() => return,
        }
    }
}

/// Merges the stored records into this daemon's; writes the result if `has_changes` is set and the
/// stored records lack something.
async fn merge(daemon: &Daemon, has_changes: bool) -> Result<(), Error> {
    let stored = daemon.platform().get::<Document>(OBJECT_KIND, OBJECT_NAME).await?;
    let condition = stored.as_ref().map_or(Condition::Absent, |s| Condition::Version(s.version));
    let stored_records = stored.map(|stored| stored.value).unwrap_or_default();
    let merged_records = {
        let mut registry = daemon.suspects().registry();
        let now = daemon.now();
        stored_records.merge_into(&mut registry, now, wall_ms());
        Document::of(&registry, now, wall_ms())
    };
    if !has_changes || merged_records.same_records(&stored_records) {
        return Ok(());
    }
    daemon.platform().put(OBJECT_KIND, OBJECT_NAME, condition, &merged_records).await.map(|_| ())
}

/// Returns the wall clock, which all daemons share, in milliseconds since the Unix epoch.
fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
