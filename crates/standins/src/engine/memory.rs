use std::time::Duration;

use kumquattiller_dialect::engine::Holdings;
use kumquattiller_dialect::engine::Load;
use kumquattiller_dialect::engine::Stream;
use tokio::time::Instant;

use crate::engine::machine::Machine;
use crate::engine::refusal::Refusal;

impl Machine {
    /// Returns the KV memory held by streams and handles, in tokens.
    pub(super) fn held(&self) -> u64 {
        let jobs: u64 = self.jobs.values().map(|job| job.held).sum();
        let handles: u64 = self.handles.values().map(|handle| handle.tokens).sum();
        jobs + handles
    }

    /// Returns the KV memory that cannot be freed by evicting cached blocks, in tokens.
    pub(super) fn used(&self) -> u64 {
        self.held() + self.cache.pinned() as u64 * self.settings.block.get()
    }

    /// Refuses when there is no room for `tokens` now or for the job as a whole.
    pub(super) fn check_room(&self, tokens: u64, later: u64) -> Result<(), Refusal> {
        let capacity = self.settings.memory.get();
        if self.used() + tokens > capacity || tokens + later > capacity {
            return Err(Refusal::MemoryFull);
        }
        Ok(())
    }

    /// Evicts cached blocks until everything fits.
    pub(super) fn shrink_cache(&mut self) {
        let block = self.settings.block.get();
        while self.held() + self.cache.len() as u64 * block > self.settings.memory.get() {
            if !self.cache.evict() {
                return;
            }
        }
    }

    pub(super) fn holdings(&self) -> Holdings {
        let streams = self.jobs.iter().map(|(request, job)| Stream {
            request: request.clone(),
            tokens: job.held,
            generated: job.generated(),
            finished: job.is_finished(),
        });
        Holdings { streams: streams.collect(), handles: self.handles.values().cloned().collect() }
    }

    /// Returns a load report that is at most as old as the settings say.
    pub(super) fn lagging_load(&mut self) -> Load {
        let now = Instant::now();
        let lag = self.settings.load_lag;
        let current = self.current_load();
        let (at, load) = self.load.get_or_insert_with(|| (now, current.clone()));
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
            kv_held: self.held(),
            kv_capacity: self.settings.memory.get(),
            prefill_backlog: active().map(|job| job.prefill_left).sum(),
            age_ms: 0,
        }
    }
}
