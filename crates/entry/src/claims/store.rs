use std::time::Duration;

use kumquattiller_claims::ReadResult;
use kumquattiller_claims::Shard;
use kumquattiller_claims::WriteResult;
use kumquattiller_claims::shard;
use kumquattiller_claims::shard::Wire;
use kumquattiller_clients::platform::Client;
use kumquattiller_clients::platform::Condition;
use kumquattiller_clients::platform::Error;
use tokio::time::timeout;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads a shard of the claim records.
pub async fn read(platform: &Client, number: shard::Number) -> ReadResult {
    let name = number.to_string();
    let call = platform.get::<Wire>(shard::OBJECT_KIND, &name);
    let stored = match timeout(STORE_TIMEOUT, call).await {
        Ok(Ok(stored)) => stored,
        Ok(Err(error)) => return unreadable(number, &error.to_string()),
        Err(_) => return unreadable(number, "the store did not answer in time"),
    };
    let Some(stored) = stored else {
        return ReadResult::Found(None);
    };
    match Shard::try_from(stored.value) {
        Ok(shard) => ReadResult::Found(Some((stored.version, shard))),
        Err(error) => unreadable(number, &error.to_string()),
    }
}

/// Writes a shard if its stored version is still `version`; `None` means that it must not exist.
pub async fn write(
    platform: &Client,
    number: shard::Number,
    version: Option<u64>,
    shard: &Shard,
) -> WriteResult {
    let name = number.to_string();
    let condition = version.map_or(Condition::Absent, Condition::Version);
    let wire = Wire::from(shard);
    let call = platform.put(shard::OBJECT_KIND, &name, condition, &wire);
    match timeout(STORE_TIMEOUT, call).await {
        Ok(Ok(version)) => WriteResult::Written(version),
        Ok(Err(Error::Conflict)) => WriteResult::Conflict,
        Ok(Err(error)) if error.may_have_taken_effect() => WriteResult::Indeterminate,
        Ok(Err(error)) => {
            log::warn!(shard:% = number; "failed to write claims to the store: {error}");
            WriteResult::Unavailable
        }
        Err(_) => WriteResult::Indeterminate,
    }
}

fn unreadable(number: shard::Number, reason: &str) -> ReadResult {
    log::warn!(shard:% = number; "failed to read claims from the store: {reason}");
    ReadResult::Unavailable
}
