use std::time::Duration;

use kumquattiller_dialect::engine::Holdings;
use kumquattiller_dialect::engine::Load;
use kumquattiller_dialect::engine::Stream;
use tokio::time::Instant;

use crate::engine::refusal::Refusal;
use crate::engine::simulator::Simulator;

impl Simulator {
    /// Returns the KV memory that streams and handles hold, in tokens.
    pub(super) fn held_tokens(&self) -> u64 {
        let jobs: u64 = self.jobs.values().map(|job| job.held_tokens).sum();
        let handles: u64 = self.handles.values().map(|handle| handle.tokens).sum();
        jobs + handles
    }

    /// Returns the KV memory that evicting cached blocks cannot free, in tokens.
    pub(super) fn unevictable_tokens(&self) -> u64 {
        self.held_tokens() + self.cache.pinned_blocks() as u64 * self.settings.block.get()
    }

    /// Checks that `tokens` fit now, and that a job which grows by `max_growth` tokens fits at all.
    pub(super) fn check_capacity(&self, tokens: u64, max_growth: u64) -> Result<(), Refusal> {
        let capacity = self.settings.memory.get();
        if self.unevictable_tokens() + tokens > capacity || tokens + max_growth > capacity {
            return Err(Refusal::MemoryFull);
        }
        Ok(())
    }

    /// Evicts cached blocks until the KV memory is within its capacity.
    pub(super) fn shrink_cache(&mut self) {
        let block = self.settings.block.get();
        while self.held_tokens() + self.cache.len() as u64 * block > self.settings.memory.get() {
            if !self.cache.evict() {
                return;
            }
        }
    }

    pub(super) fn holdings(&self) -> Holdings {
        let streams = self.jobs.iter().map(|(request, job)| Stream {
            request: request.clone(),
            tokens: job.held_tokens,
            generated: job.generated(),
            finished: job.is_finished(),
        });
        Holdings { streams: streams.collect(), handles: self.handles.values().cloned().collect() }
    }

    /// Returns a load report, which is renewed once it is older than `Settings::load_lag`.
    pub(super) fn reported_load(&mut self) -> Load {
        let now = Instant::now();
        let lag = self.settings.load_lag;
        let current = self.current_load();
        let (at, load) = self.reported_load.get_or_insert_with(|| (now, current.clone()));
        if now.duration_since(*at) > lag {
            (*at, *load) = (now, current);
        }
        let age: Duration = now.duration_since(*at);
        Load { age_ms: age.as_millis() as u64, ..load.clone() }
    }

    fn current_load(&self) -> Load {
        let active = || self.jobs.values().filter(|job| !job.is_finished());
        Load {
            running: active().filter(|job| job.running).count() as u32,
            waiting: active().filter(|job| !job.running).count() as u32,
            kv_held: self.held_tokens(),
            kv_capacity: self.settings.memory.get(),
            prefill_backlog: active().map(|job| job.prefill_left).sum(),
            age_ms: 0,
        }
    }
}
