use kumquattiller_dialect::engine::Completion;
use kumquattiller_dialect::engine::Prefill;
use tokio::sync::watch;

use crate::engine::Text;

/// Progress of a job, as reported to its readers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// Number of tokens generated so far.
    pub(super) generated: u64,
    /// Whether the job has finished.
    pub(super) finished: bool,
}

/// What a job produces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Generated text, which is kept until the stream is deleted.
    Generate,
    /// A handle to computed KV.
    Prefill,
}

/// A stream or a prefill that is waiting, running or finished.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) kind: Kind,
    pub(super) prompt: String,
    pub(super) priority: u32,
    pub(super) arrival: u64,
    pub(super) blocks: Vec<u64>,
    /// Number of leading blocks that the job shares with the prefix cache.
    pub(super) shared: usize,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
    /// Tokens that are still to be prefilled.
    pub(super) prefill_left: u64,
    /// KV memory that the job holds exclusively, in tokens.
    pub(super) held_tokens: u64,
    pub(super) running: bool,
    pub(super) text: Text,
    pub(super) progress: watch::Sender<Progress>,
}

impl Job {
    pub(super) fn generate(completion: &Completion, arrival: u64) -> Self {
        Self {
            kind: Kind::Generate,
            prompt: completion.prompt.clone(),
            priority: completion.priority,
            arrival,
            blocks: completion.block_hashes.clone(),
            shared: 0,
            prompt_tokens: completion.prompt_tokens,
            max_tokens: completion.max_tokens,
            prefill_left: completion.prompt_tokens,
            held_tokens: completion.prompt_tokens,
            running: false,
            text: Text::of(completion),
            progress: watch::Sender::new(Progress::default()),
        }
    }

    pub(super) fn prefill(prefill: &Prefill, arrival: u64) -> Self {
        Self {
            kind: Kind::Prefill,
            prompt: prefill.prompt.clone(),
            priority: prefill.priority,
            arrival,
            blocks: Vec::new(),
            shared: 0,
            prompt_tokens: prefill.prompt_tokens,
            max_tokens: 0,
            prefill_left: prefill.prompt_tokens,
            held_tokens: prefill.prompt_tokens,
            running: false,
            text: Text::new(&prefill.prompt, &[]),
            progress: watch::Sender::new(Progress::default()),
        }
    }

    pub(super) fn generated(&self) -> u64 {
        self.progress.borrow().generated
    }

    pub(super) fn is_finished(&self) -> bool {
        self.progress.borrow().finished
    }

    /// Returns whether the next step generates a token of the job.
    pub(super) fn is_decoding(&self) -> bool {
        self.running && self.prefill_left == 0 && self.kind == Kind::Generate
    }

    /// Returns the scheduling key: jobs with a lower key are served first.
    pub(super) const fn schedule_key(&self) -> (u32, u64) {
        (self.priority, self.arrival)
    }
}
