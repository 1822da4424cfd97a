use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use kumquattiller_clients::platform::Condition;
use kumquattiller_clients::platform::Error;
use kumquattiller_recovery::suspect::Document;
use tokio::time::sleep;

use crate::Daemon;

/// Kind of the store's object with the records.
const OBJECT_KIND: &str = "suspects";
/// Its name.
const OBJECT_NAME: &str = "records";
/// Time between reads.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Longest pause before a write, so that daemons that heard the same do not collide.
const MAX_PAUSE_MS: u64 = 500;

/// Merges the records with those in the store, at the start, after news and at intervals.
pub async fn run(daemon: Daemon) {
    let mut news = false;
    loop {
        match merge(&daemon, news).await {
            Ok(()) => news = false,
            Err(error) => log::debug!("records were not merged with the store: {error}"),
        }
        let pause = Duration::from_millis(rand::random_range(0..MAX_PAUSE_MS));
        tokio::select! {
            () = daemon.suspects().changed() => {
                news = true;
                sleep(pause).await;
            }
            () = sleep(if news { pause } else { READ_INTERVAL + pause }) => {}
            () = daemon.stopped().cancelled() => return,
        }
    }
}

/// Reads the records and, when this daemon has news, writes them back.
async fn merge(daemon: &Daemon, news: bool) -> Result<(), Error> {
    let stored = daemon.platform().get::<Document>(OBJECT_KIND, OBJECT_NAME).await?;
    let condition = stored.as_ref().map_or(Condition::Absent, |s| Condition::Version(s.version));
    let before = stored.map(|stored| stored.value).unwrap_or_default();
    let after = {
        let mut registry = daemon.suspects().registry();
        let now = daemon.now();
        before.merge_into(&mut registry, now, wall_ms());
        Document::of(&registry, now, wall_ms())
    };
    if !news || after.same_records(&before) {
        return Ok(());
    }
    daemon.platform().put(OBJECT_KIND, OBJECT_NAME, condition, &after).await.map(|_| ())
}

/// Returns the shared clock, in milliseconds since the Unix epoch.
fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
