use std::collections::BTreeMap;

use kumquattiller_base::account;
use kumquattiller_base::request::Key;
use serde::Deserialize;
use serde::Serialize;

use crate::Record;
use crate::Shard;

/// The JSON form of a shard: records by account, then by `Idempotency-Key`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wire {
    /// The records.
    pub records: BTreeMap<account::Id, BTreeMap<String, Record>>,
}

/// The error for a stored shard with an invalid key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidShard(String);

impl std::fmt::Display for InvalidShard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "shard has an invalid key {:?}", self.0)
    }
}

impl std::error::Error for InvalidShard {}

impl From<&Shard> for Wire {
    fn from(shard: &Shard) -> Self {
        let mut wire = Self::default();
        for (key, record) in shard.records() {
            let account = wire.records.entry(key.account().clone()).or_default();
            account.insert(key.text().to_owned(), record.clone());
        }
        wire
    }
}

impl TryFrom<Wire> for Shard {
    type Error = InvalidShard;

    fn try_from(wire: Wire) -> Result<Self, InvalidShard> {
        let mut shard = Self::default();
        for (account, records) in wire.records {
            for (text, record) in records {
                let key = Key::new(account.clone(), &text).ok_or(InvalidShard(text))?;
                shard.insert(key, record);
            }
        }
        Ok(shard)
    }
}
