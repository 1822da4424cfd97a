use std::collections::HashMap;

use kumquattiller_dialect::engine::CacheEvent;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::engine::Settings;

/// Maximum number of cache events that are kept.
const MAX_EVENTS: usize = 100_000;

/// A prefix block in the cache.
#[derive(Debug, Default)]
struct Block {
    /// Number of jobs that use the block.
    user_count: usize,
    /// Value of the use counter at the last use.
    last_use: u64,
}

/// The prefix cache, with its log of cache events.
#[derive(Debug)]
pub(super) struct Cache {
    blocks: HashMap<u64, Block>,
    use_count: u64,
    sequence: u64,
    events: Vec<(Instant, CacheEvent)>,
    event_loss: f64,
    rng: ChaCha8Rng,
}

impl Cache {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            blocks: HashMap::new(),
            use_count: 0,
            sequence: 0,
            events: Vec::new(),
            event_loss: settings.cache_event_loss,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the number of blocks that jobs use.
    pub(super) fn pinned_blocks(&self) -> usize {
        self.blocks.values().filter(|block| block.user_count > 0).count()
    }

    /// Returns the number of leading blocks that are cached.
    pub(super) fn cached_prefix(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    pub(super) fn pin(&mut self, blocks: &[u64]) {
        for hash in blocks {
            self.use_count += 1;
            let block = self.blocks.entry(*hash).or_default();
            block.user_count += 1;
            block.last_use = self.use_count;
        }
    }

    pub(super) fn unpin(&mut self, blocks: &[u64]) {
        for hash in blocks {
            if let Some(block) = self.blocks.get_mut(hash) {
                block.user_count = block.user_count.saturating_sub(1);
            }
        }
    }

    pub(super) fn insert(&mut self, hash: u64) {
        self.use_count += 1;
        let last_use = self.use_count;
        if let Some(block) = self.blocks.get_mut(&hash) {
            block.last_use = last_use;
            return;
        }
        self.blocks.insert(hash, Block { user_count: 0, last_use });
        self.record_event(hash, true);
    }

    /// Evicts the least recently used block; returns false when jobs use all blocks.
    pub(super) fn evict(&mut self) -> bool {
        let unused = self.blocks.iter().filter(|(_, block)| block.user_count == 0);
        let Some(hash) = unused.min_by_key(|(_, block)| block.last_use).map(|(hash, _)| *hash)
        else {
            return false;
        };
        self.blocks.remove(&hash);
        self.record_event(hash, false);
        true
    }

    /// Returns the events after `sequence` that happened up to `until`.
    pub(super) fn events(&self, sequence: u64, until: Instant) -> Vec<CacheEvent> {
        let old = self.events.iter().take_while(|(at, _)| *at <= until);
        old.filter(|(_, e)| e.sequence > sequence).map(|(_, e)| e.clone()).collect()
    }

    fn record_event(&mut self, block: u64, cached: bool) {
        self.sequence += 1;
        if self.rng.random_bool(self.event_loss) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
        let event = CacheEvent { sequence: self.sequence, block, cached };
        self.events.push((Instant::now(), event));
    }
}
