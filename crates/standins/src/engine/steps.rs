use std::time::Duration;

use kumquattiller_base::size::Tokens;

use crate::engine::job::Job;
use crate::engine::job::Kind;
use crate::engine::machine::Machine;

/// What a step led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Work was done.
    Worked,
    /// A prompt with the crash marker was computed.
    Crashed,
}

impl Machine {
    /// Fills the batch and returns the time of the next step, or `None` when there is no work.
    pub(super) fn begin_step(&mut self) -> Option<Duration> {
        self.fill_batch();
        let decodes = self.jobs.values().any(Job::decodes);
        let running = self.jobs.values().filter(|job| job.running);
        let backlog: u64 = running.map(|job| job.prefill_left).sum();
        if !decodes && backlog == 0 {
            return None;
        }
        let chunk = backlog.min(self.settings.timing.chunk.get());
        Some(self.settings.timing.step(decodes, Tokens::new(chunk)))
    }

    /// Does the work of a step.
    pub(super) fn finish_step(&mut self) -> Outcome {
        self.decode();
        if self.compute_prompts() {
            return Outcome::Crashed;
        }
        self.shrink_cache();
        Outcome::Worked
    }

    /// Takes waiting jobs into the batch in their order.
    fn fill_batch(&mut self) {
        let mut waiting = self.ranked(|job| !job.running && !job.is_finished());
        let mut places = self.settings.timing.max_batch.saturating_sub(self.running());
        waiting.retain(|request| {
            let fits = places > 0 && self.resume(request);
            places -= usize::from(fits);
            !fits
        });
    }

    /// Puts a job into the batch when its memory fits.
    fn resume(&mut self, request: &str) -> bool {
        let room = self.settings.memory.get().saturating_sub(self.used());
        let Some(job) = self.jobs.get_mut(request) else { return false };
        // A job that was preempted holds nothing and needs all its memory again.
        let needed = if job.held == 0 { job.prefill_left } else { 0 };
        if needed > room {
            return false;
        }
        job.held += needed;
        job.running = true;
        true
    }

    /// Gives each decoding stream a token.
    fn decode(&mut self) {
        for request in self.ranked(Job::decodes) {
            if !self.make_room(&request) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(&request) else { continue };
            job.held += 1;
            let max_tokens = job.max_tokens;
            job.progress.send_modify(|progress| {
                progress.generated += 1;
                progress.finished = progress.generated >= max_tokens;
            });
            job.running = !job.is_finished();
        }
    }

    /// Makes room for one token, preempting jobs that rank after `request`; returns false when
    /// `request` was preempted itself.
    fn make_room(&mut self, request: &str) -> bool {
        while self.used() >= self.settings.memory.get() {
            let Some(last) = self.ranked(|job| job.running).pop() else { return false };
            self.preempt(&last);
            if last == request {
                return false;
            }
        }
        self.jobs.get(request).is_some_and(|job| job.running)
    }

    /// Frees the memory of a job, which then computes everything again.
    fn preempt(&mut self, request: &str) {
        let Some(job) = self.jobs.get_mut(request) else { return };
        job.running = false;
        job.held = 0;
        job.prefill_left = job.prompt_tokens + job.generated();
        let shared = job.blocks[..job.shared].to_vec();
        job.shared = 0;
        self.cache.unpin(&shared);
    }

    /// Computes a chunk of prompts; returns true when one has the crash marker.
    fn compute_prompts(&mut self) -> bool {
        let mut chunk = self.settings.timing.chunk.get();
        for request in self.ranked(|job| job.running && job.prefill_left > 0) {
            let Some(job) = self.jobs.get_mut(&request) else { continue };
            let computed = job.prefill_left.min(chunk);
            chunk -= computed;
            job.prefill_left -= computed;
            if computed > 0 && self.has_marker(&request) {
                return true;
            }
            if self.jobs[&request].prefill_left == 0 {
                self.complete_prompt(&request);
            }
        }
        false
    }

    /// Caches the blocks of a computed prompt, or turns a prefill into a handle.
    fn complete_prompt(&mut self, request: &str) {
        let job = &self.jobs[request];
        if job.kind == Kind::Generate {
            for hash in job.blocks.clone() {
                self.cache.insert(hash);
            }
            return;
        }
        let handle = self.handle(request.to_owned(), job.prompt_tokens);
        job.progress.send_modify(|progress| progress.finished = true);
        self.jobs.remove(request);
        self.handles.insert(request.to_owned(), handle);
    }

    fn has_marker(&self, request: &str) -> bool {
        let marker = self.settings.crash_marker.as_deref();
        marker.is_some_and(|marker| self.jobs[request].prompt.contains(marker))
    }

    fn running(&self) -> usize {
        self.jobs.values().filter(|job| job.running).count()
    }

    /// Returns the requests of jobs that pass `filter`, in the order in which they are served.
    fn ranked(&self, filter: impl Fn(&Job) -> bool) -> Vec<String> {
        let mut jobs: Vec<_> = self.jobs.iter().filter(|(_, job)| filter(job)).collect();
        jobs.sort_by_key(|(_, job)| job.rank());
        jobs.into_iter().map(|(request, _)| request.clone()).collect()
    }
}
