use std::collections::HashMap;

use kumquattiller_dialect::engine::CacheEvent;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::engine::Settings;

/// Most cache events that are kept.
const MAX_EVENTS: usize = 100_000;

/// A prefix block in the cache.
#[derive(Debug, Default)]
struct Block {
    /// Jobs that use it.
    users: usize,
    /// Order of its last use.
    used: u64,
}

/// The prefix cache, with its events.
#[derive(Debug)]
pub(super) struct Cache {
    blocks: HashMap<u64, Block>,
    uses: u64,
    sequence: u64,
    events: Vec<(Instant, CacheEvent)>,
    loss: f64,
    rng: ChaCha8Rng,
}

impl Cache {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            blocks: HashMap::new(),
            uses: 0,
            sequence: 0,
            events: Vec::new(),
            loss: settings.cache_event_loss,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns how many blocks are in use by jobs.
    pub(super) fn pinned(&self) -> usize {
        self.blocks.values().filter(|block| block.users > 0).count()
    }

    /// Returns how many of the leading blocks are cached.
    pub(super) fn prefix(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    pub(super) fn pin(&mut self, blocks: &[u64]) {
        for hash in blocks {
            self.uses += 1;
            let block = self.blocks.entry(*hash).or_default();
            block.users += 1;
            block.used = self.uses;
        }
    }

    pub(super) fn unpin(&mut self, blocks: &[u64]) {
        for hash in blocks {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.users = block.users.saturating_sub(1);
            }
        }
    }

    pub(super) fn insert(&mut self, hash: u64) {
        self.uses += 1;
        let used = self.uses;
        if let Some(block) = self.blocks.get_mut(&hash) {
            block.used = used;
            return;
        }
        self.blocks.insert(hash, Block { users: 0, used });
        self.publish(hash, true);
    }

    /// Evicts the block that is unused the longest; returns false when all are in use.
    pub(super) fn evict(&mut self) -> bool {
        let unused = self.blocks.iter().filter(|(_, block)| block.users == 0);
        let Some(hash) = unused.min_by_key(|(_, block)| block.used).map(|(hash, _)| *hash) else {
            return false;
        };
        self.blocks.remove(&hash);
        self.publish(hash, false);
        true
    }

    /// Returns the events after `sequence` that happened before `until`.
    pub(super) fn events(&self, sequence: u64, until: Instant) -> Vec<CacheEvent> {
        let old = self.events.iter().take_while(|(at, _)| *at <= until);
        old.filter(|(_, e)| e.sequence > sequence).map(|(_, e)| e.clone()).collect()
    }

    fn publish(&mut self, block: u64, cached: bool) {
        self.sequence += 1;
        if self.rng.random_bool(self.loss) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
        let event = CacheEvent { sequence: self.sequence, block, cached };
        self.events.push((Instant::now(), event));
    }
}
