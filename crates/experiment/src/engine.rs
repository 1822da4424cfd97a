//! A simulated engine that follows the time model of [`crate::model`].

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_routing::band::Band;
use kumquattiller_routing::load::Load;

use crate::model::Model;
use crate::workload;

/// A request to an engine.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    /// Index of the job.
    pub job: usize,
    /// Priority; lower values run first.
    pub priority: u32,
    /// Number of tokens in the prompt.
    pub prompt: Tokens,
    /// Number of tokens to generate.
    pub answer: Tokens,
    /// KV memory that the request holds while it runs.
    pub footprint: Tokens,
    /// Session of the request, whose prefix may be cached.
    pub session: u64,
    /// Number of leading prompt tokens shared by the session's requests.
    pub prefix: Tokens,
}

/// Results of a step.
#[derive(Debug, Default)]
pub struct Progress {
    /// Jobs whose first token was generated.
    pub first: Vec<usize>,
    /// Jobs that finished.
    pub ended: Vec<usize>,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    model: Model,
    decode_steps: u64,
    sequence: u64,
    held_tokens: u64,
    step_tokens: u64,
    queue: BTreeMap<(u32, u64), Task>,
    prefill: BTreeMap<(u32, u64), (Task, u64)>,
    decode: BinaryHeap<Reverse<(u64, usize)>>,
    running: HashMap<usize, Task>,
    decoding: [u64; 3],
    cache: HashMap<u64, (u64, u64)>,
    cached_tokens: u64,
    cache_hits: HashMap<usize, Tokens>,
    evicted: Vec<u64>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(model: Model) -> Self {
        Self {
            model,
            decode_steps: 0,
            sequence: 0,
            held_tokens: 0,
            step_tokens: 0,
            queue: BTreeMap::new(),
            prefill: BTreeMap::new(),
            decode: BinaryHeap::new(),
            running: HashMap::new(),
            decoding: [0; 3],
            cache: HashMap::new(),
            cached_tokens: 0,
            cache_hits: HashMap::new(),
            evicted: Vec::new(),
        }
    }

    /// Queues a request, which starts as soon as its footprint fits into the memory.
    pub fn start(&mut self, task: Task) {
        self.sequence += 1;
        self.queue.insert((task.priority, self.sequence), task);
        self.start_queued();
    }

    /// Cancels a request.
    pub fn cancel(&mut self, job: usize) {
        self.queue.retain(|_, task| task.job != job);
        self.prefill.retain(|_, (task, _)| task.job != job);
        let before = self.decode.len();
        self.decode.retain(|Reverse((_, j))| *j != job);
        let was_decoding = self.decode.len() < before;
        if let Some(task) = self.running.remove(&job) {
            self.held_tokens -= task.footprint.get();
            if was_decoding {
                self.decoding[band_index(&task)] -= 1;
            }
        }
        self.start_queued();
    }

    /// Reserves memory for a part of a prompt that is larger than an engine.
    pub fn reserve(&mut self, tokens: Tokens) {
        self.held_tokens += tokens.get();
        self.evict();
    }

    /// Releases memory that [`Engine::reserve`] reserved.
    pub fn release(&mut self, tokens: Tokens) {
        self.held_tokens -= tokens.get();
        self.start_queued();
    }

    /// Returns the hashes of the prefixes evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    /// Returns whether no request is running.
    pub fn is_idle(&self) -> bool {
        self.prefill.is_empty() && self.decode.is_empty()
    }

    /// Returns the KV memory that requests and reservations hold.
    pub const fn held(&self) -> Tokens {
        Tokens::new(self.held_tokens)
    }

    /// Returns the number of answers that are being generated, by band.
    pub const fn decoding(&self) -> [u64; 3] {
        self.decoding
    }

    /// Returns the number of prompt tokens that were cached when a running request started.
    pub fn cached_prompt_tokens(&self, job: usize) -> Tokens {
        self.cache_hits.get(&job).copied().unwrap_or_default()
    }

    /// Returns the load that the engine reports when no gate is in front of it.
    pub fn load(&self) -> Load {
        let queued = self.queue.values().map(|task| task.footprint.get()).sum::<u64>();
        let backlog = self.prefill.values().map(|(_, left)| *left).sum();
        Load {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            held: Tokens::new(self.held_tokens + queued),
            capacity: self.model.memory,
            backlog: Tokens::new(backlog),
            ..Load::default()
        }
    }

    /// Begins a step and returns its duration.
    pub fn begin_step(&mut self) -> Duration {
        let pending: u64 = self.prefill.values().map(|(_, left)| *left).sum();
        self.step_tokens = pending.min(self.model.chunk.get());
        let decode = if self.decode.is_empty() { Duration::ZERO } else { self.model.decode_step };
        decode + self.model.prefill_token * self.step_tokens as u32
    }

    /// Finishes a step and returns its results.
    pub fn finish_step(&mut self) -> Progress {
        let mut progress = Progress::default();
        if !self.decode.is_empty() {
            self.decode_steps += 1;
        }
        while let Some(Reverse((end, job))) = self.decode.peek().copied()
            && end <= self.decode_steps
        {
            self.decode.pop();
            let task = self.remove_running(job);
            self.decoding[band_index(&task)] -= 1;
            progress.ended.push(job);
        }
        self.compute_prompts(&mut progress);
        self.start_queued();
        progress
    }

    fn compute_prompts(&mut self, progress: &mut Progress) {
        let mut step_tokens = self.step_tokens;
        while step_tokens > 0
            && let Some(mut entry) = self.prefill.first_entry()
        {
            let (task, left) = entry.get_mut();
            let part = step_tokens.min(*left);
            *left -= part;
            step_tokens -= part;
            if *left > 0 {
                break;
            }
            let task = *task;
            entry.remove();
            self.finish_prefill(&task, progress);
        }
    }

    /// Caches the prefix of a computed prompt and records the first token of its answer.
    fn finish_prefill(&mut self, task: &Task, progress: &mut Progress) {
        progress.first.push(task.job);
        self.cache_prefix(task);
        if task.answer.get() <= 1 {
            self.remove_running(task.job);
            progress.ended.push(task.job);
            return;
        }
        self.decoding[band_index(task)] += 1;
        self.decode.push(Reverse((self.decode_steps + task.answer.get() - 1, task.job)));
    }

    fn remove_running(&mut self, job: usize) -> Task {
        let task = self.running.remove(&job).expect("a decoding job runs");
        self.held_tokens -= task.footprint.get();
        self.cache_hits.remove(&job);
        task
    }

    /// Starts queued requests in order until one does not fit into the memory.
    fn start_queued(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            let task = *entry.get();
            if self.held_tokens + task.footprint.get() > self.model.memory.get() {
                break;
            }
            let key = *entry.key();
            entry.remove();
            let hit = self.cache.get(&task.session).map_or(0, |(tokens, _)| *tokens);
            let hit = hit.min(task.prefix.get());
            self.cache_hits.insert(task.job, Tokens::new(hit));
            self.held_tokens += task.footprint.get();
            self.running.insert(task.job, task);
            self.prefill.insert(key, (task, task.prompt.get() - hit));
        }
        self.evict();
    }

    /// Puts the prefix of a request into the cache, in place of an earlier one of its session.
    fn cache_prefix(&mut self, task: &Task) {
        let before = self.cache.insert(task.session, (task.prefix.get(), self.sequence));
        self.cached_tokens += task.prefix.get();
        self.cached_tokens -= before.map_or(0, |(tokens, _)| tokens);
        self.evict();
    }

    /// Evicts the least recently used prefixes until the cache fits into the memory that is free.
    fn evict(&mut self) {
        while self.held_tokens + self.cached_tokens > self.model.memory.get() {
            let oldest = self.cache.iter().map(|(s, (_, used))| (*used, *s)).min();
            let Some((_, session)) = oldest else {
                return;
            };
            let (tokens, _) = self.cache.remove(&session).unwrap_or_default();
            self.cached_tokens -= tokens;
            self.evicted.extend(workload::prefix_hashes(session, Tokens::new(tokens)));
        }
    }
}

fn band_index(task: &Task) -> usize {
    Band::of(task.prompt).priority() as usize
}
