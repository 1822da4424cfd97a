use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::engine::job::Job;
use crate::engine::job::Kind;
use crate::engine::simulator::Simulator;

/// Outcome of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The step completed.
    Completed,
    /// A prompt with the crash marker was computed.
    Crashed,
}

impl Simulator {
    /// Fills the batch and returns the duration of the next step, or `None` when there is no work.
    pub(super) fn begin_step(&mut self) -> Option<Duration> {
        self.fill_batch();
        let decodes = self.jobs.values().any(Job::is_decoding);
        let running = self.jobs.values().filter(|job| job.running);
        let backlog: u64 = running.map(|job| job.prefill_left).sum();
        if !decodes && backlog == 0 {
            return None;
        }
        let chunk = backlog.min(self.settings.timing.chunk.get());
        Some(self.settings.timing.step_time(decodes, Tokens::new(chunk)))
    }

    /// Applies the work of a step.
    pub(super) fn finish_step(&mut self) -> Outcome {
        self.decode_streams();
        if self.compute_chunk() {
            return Outcome::Crashed;
        }
        self.shrink_cache();
        Outcome::Completed
    }

    /// Adds waiting jobs to the batch in scheduling order.
    fn fill_batch(&mut self) {
        let mut waiting = self.scheduled_requests(|job| !job.running && !job.is_finished());
        let mut free_slots = self.settings.timing.max_batch.saturating_sub(self.running_count());
        waiting.retain(|request| {
            let fits = free_slots > 0 && self.try_admit(request);
            free_slots -= usize::from(fits);
            !fits
        });
    }

    /// Adds a job to the batch if its memory fits, and returns whether it did.
    fn try_admit(&mut self, request: &str) -> bool {
        let room = self.settings.memory.get().saturating_sub(self.unevictable_tokens());
        let Some(job) = self.jobs.get_mut(request) else { return false };
        // A preempted job holds no memory and needs all of it again.
        let needed = if job.held_tokens == 0 { job.prefill_left } else { 0 };
        if needed > room {
            return false;
        }
        job.held_tokens += needed;
        job.running = true;
        true
    }

    /// Generates one token for each decoding stream.
    fn decode_streams(&mut self) {
        for request in self.scheduled_requests(Job::is_decoding) {
            if !self.free_one_token(&request) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(&request) else { continue };
            job.held_tokens += 1;
            let max_tokens = job.max_tokens;
            job.progress.send_modify(|progress| {
                progress.generated += 1;
                progress.finished = progress.generated >= max_tokens;
            });
            job.running = !job.is_finished();
        }
    }

    /// Frees memory for one token by preempting jobs, last in scheduling order first; returns false
    /// when `request` itself was preempted.
    fn free_one_token(&mut self, request: &str) -> bool {
        while self.unevictable_tokens() >= self.settings.memory.get() {
            let Some(last) = self.scheduled_requests(|job| job.running).pop() else { return false };
            self.preempt(&last);
            if last == request {
                return false;
            }
        }
        self.jobs.get(request).is_some_and(|job| job.running)
    }

    /// Frees the memory of a job, which must then compute all its tokens again.
    fn preempt(&mut self, request: &str) {
        let Some(job) = self.jobs.get_mut(request) else { return };
        job.running = false;
        job.held_tokens = 0;
        job.prefill_left = job.prompt_tokens + job.generated();
        let shared = job.blocks[..job.shared].to_vec();
        job.shared = 0;
        self.cache.unpin(&shared);
    }

    /// Computes a chunk of prompt tokens; returns true when a prompt contains the crash marker.
    fn compute_chunk(&mut self) -> bool {
        let mut chunk = self.settings.timing.chunk.get();
        for request in self.scheduled_requests(|job| job.running && job.prefill_left > 0) {
            let Some(job) = self.jobs.get_mut(&request) else { continue };
            let computed = job.prefill_left.min(chunk);
            chunk -= computed;
            job.prefill_left -= computed;
            if computed > 0 && self.has_crash_marker(&request) {
                return true;
            }
            if self.jobs[&request].prefill_left == 0 {
                self.complete_prompt(&request);
            }
        }
        false
    }

    /// Caches the blocks of a completed prompt, or replaces a completed prefill by its handle.
    fn complete_prompt(&mut self, request: &str) {
        let job = &self.jobs[request];
        if job.kind == Kind::Generate {
            for hash in job.blocks.clone() {
                self.cache.insert(hash);
            }
            return;
        }
        let handle = self.local_handle(request.to_owned(), job.prompt_tokens);
        job.progress.send_modify(|progress| progress.finished = true);
        self.jobs.remove(request);
        self.handles.insert(request.to_owned(), handle);
    }

    fn has_crash_marker(&self, request: &str) -> bool {
        let marker = self.settings.crash_marker.as_deref();
        marker.is_some_and(|marker| self.jobs[request].prompt.contains(marker))
    }

    fn running_count(&self) -> usize {
        self.jobs.values().filter(|job| job.running).count()
    }

    /// Returns the request ids of jobs that match `filter`, in scheduling order.
    fn scheduled_requests(&self, filter: impl Fn(&Job) -> bool) -> Vec<String> {
        let mut jobs: Vec<_> = self.jobs.iter().filter(|(_, job)| filter(job)).collect();
        jobs.sort_by_key(|(_, job)| job.schedule_key());
        jobs.into_iter().map(|(request, _)| request.clone()).collect()
    }
}
