//! A fake engine after the time model of [`crate::model`].

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

/// A request as the engine sees it.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    /// The job's index.
    pub job: usize,
    /// Lower runs first.
    pub priority: u32,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the answer.
    pub answer: Tokens,
    /// KV memory that it takes.
    pub footprint: Tokens,
    /// Session whose prefix may be cached.
    pub session: u64,
    /// Tokens of the prompt that the session shares.
    pub prefix: Tokens,
}

/// What happened in a step.
#[derive(Debug, Default)]
pub struct Progress {
    /// Jobs whose first token came, with the prompt tokens that were cached.
    pub first: Vec<usize>,
    /// Jobs that ended.
    pub ended: Vec<usize>,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    model: Model,
    steps: u64,
    sequence: u64,
    held: u64,
    budget: u64,
    queue: BTreeMap<(u32, u64), Task>,
    prefill: BTreeMap<(u32, u64), (Task, u64)>,
    decode: BinaryHeap<Reverse<(u64, usize)>>,
    running: HashMap<usize, Task>,
    decoding: [u64; 3],
    cache: HashMap<u64, (u64, u64)>,
    cached: u64,
    hits: HashMap<usize, Tokens>,
    evicted: Vec<u64>,
}

impl Engine {
    /// Makes an idle engine.
    pub fn new(model: Model) -> Self {
        Self {
            model,
            steps: 0,
            sequence: 0,
            held: 0,
            budget: 0,
            queue: BTreeMap::new(),
            prefill: BTreeMap::new(),
            decode: BinaryHeap::new(),
            running: HashMap::new(),
            decoding: [0; 3],
            cache: HashMap::new(),
            cached: 0,
            hits: HashMap::new(),
            evicted: Vec::new(),
        }
    }

    /// Takes a request; it waits in the engine's own queue until memory holds it.
    pub fn start(&mut self, task: Task) {
        self.sequence += 1;
        self.queue.insert((task.priority, self.sequence), task);
        self.fill();
    }

    /// Cancels a request.
    pub fn cancel(&mut self, job: usize) {
        self.queue.retain(|_, task| task.job != job);
        self.prefill.retain(|_, (task, _)| task.job != job);
        let before = self.decode.len();
        self.decode.retain(|Reverse((_, j))| *j != job);
        let was_decoding = self.decode.len() < before;
        if let Some(task) = self.running.remove(&job) {
            self.held -= task.footprint.get();
            if was_decoding {
                self.decoding[band(&task)] -= 1;
            }
        }
        self.fill();
    }

    /// Takes or gives back memory for a part of a prompt larger than an engine.
    pub fn reserve(&mut self, tokens: Tokens) {
        self.held += tokens.get();
        self.evict();
    }

    /// Gives back memory of [`Engine::reserve`].
    pub fn release(&mut self, tokens: Tokens) {
        self.held -= tokens.get();
        self.fill();
    }

    /// Returns the hashes of the prefixes evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    /// Tells whether there is anything to do.
    pub fn is_idle(&self) -> bool {
        self.prefill.is_empty() && self.decode.is_empty()
    }

    /// Returns the KV memory that requests hold.
    pub const fn held(&self) -> Tokens {
        Tokens::new(self.held)
    }

    /// Returns the answers that are being generated, by band.
    pub const fn decoding(&self) -> [u64; 3] {
        self.decoding
    }

    /// Returns the prompt tokens that a started request found cached.
    pub fn hit(&self, job: usize) -> Tokens {
        self.hits.get(&job).copied().unwrap_or_default()
    }

    /// Returns the load, as an engine without a gate before it reports it.
    pub fn load(&self) -> Load {
        let queued = self.queue.values().map(|task| task.footprint.get()).sum::<u64>();
        let backlog = self.prefill.values().map(|(_, left)| *left).sum();
        Load {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            held: Tokens::new(self.held + queued),
            capacity: self.model.memory,
            backlog: Tokens::new(backlog),
            ..Load::default()
        }
    }

    /// Begins a step and returns the time that it takes.
    pub fn begin(&mut self) -> Duration {
        let wanted: u64 = self.prefill.values().map(|(_, left)| *left).sum();
        self.budget = wanted.min(self.model.chunk.get());
        let decode = if self.decode.is_empty() { Duration::ZERO } else { self.model.decode_step };
        decode + self.model.prefill_token * self.budget as u32
    }

    /// Ends a step.
    pub fn step(&mut self) -> Progress {
        let mut progress = Progress::default();
        if !self.decode.is_empty() {
            self.steps += 1;
        }
        while let Some(Reverse((end, job))) = self.decode.peek().copied()
            && end <= self.steps
        {
            self.decode.pop();
            let task = self.end(job);
            self.decoding[band(&task)] -= 1;
            progress.ended.push(job);
        }
        self.compute(&mut progress);
        self.fill();
        progress
    }

    fn compute(&mut self, progress: &mut Progress) {
        let mut budget = self.budget;
        while budget > 0
            && let Some(mut entry) = self.prefill.first_entry()
        {
            let (task, left) = entry.get_mut();
            let part = budget.min(*left);
            *left -= part;
            budget -= part;
            if *left > 0 {
                break;
            }
            let task = *task;
            entry.remove();
            self.first_token(&task, progress);
        }
    }

    fn first_token(&mut self, task: &Task, progress: &mut Progress) {
        progress.first.push(task.job);
        self.keep(task);
        if task.answer.get() <= 1 {
            self.end(task.job);
            progress.ended.push(task.job);
            return;
        }
        self.decoding[band(task)] += 1;
        self.decode.push(Reverse((self.steps + task.answer.get() - 1, task.job)));
    }

    fn end(&mut self, job: usize) -> Task {
        let task = self.running.remove(&job).expect("a decoding job runs");
        self.held -= task.footprint.get();
        self.hits.remove(&job);
        task
    }

    /// Starts what memory holds, in order; the first that does not fit holds up the rest.
    fn fill(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            let task = *entry.get();
            if self.held + task.footprint.get() > self.model.memory.get() {
                break;
            }
            let key = *entry.key();
            entry.remove();
            let hit = self.cache.get(&task.session).map_or(0, |(tokens, _)| *tokens);
            let hit = hit.min(task.prefix.get());
            self.hits.insert(task.job, Tokens::new(hit));
            self.held += task.footprint.get();
            self.running.insert(task.job, task);
            self.prefill.insert(key, (task, task.prompt.get() - hit));
        }
        self.evict();
    }

    fn keep(&mut self, task: &Task) {
        let before = self.cache.insert(task.session, (task.prefix.get(), self.sequence));
        self.cached += task.prefix.get();
        self.cached -= before.map_or(0, |(tokens, _)| tokens);
        self.evict();
    }

    /// Drops the prefixes used longest ago until the rest fits beside what is held.
    fn evict(&mut self) {
        while self.held + self.cached > self.model.memory.get() {
            let oldest = self.cache.iter().map(|(s, (_, used))| (*used, *s)).min();
            let Some((_, session)) = oldest else {
                return;
            };
            let (tokens, _) = self.cache.remove(&session).unwrap_or_default();
            self.cached -= tokens;
            self.evicted.extend(workload::blocks(session, Tokens::new(tokens)));
        }
    }
}

fn band(task: &Task) -> usize {
    Band::of(task.prompt).priority() as usize
}
