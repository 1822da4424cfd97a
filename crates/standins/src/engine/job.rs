use kumquattiller_dialect::engine::Completion;
use kumquattiller_dialect::engine::Prefill;
use tokio::sync::watch;

use crate::engine::Text;

/// How far a job has come, as its readers see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// Tokens generated.
    pub(super) generated: u64,
    /// The job is over.
    pub(super) finished: bool,
}

/// What a job ends in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Generated text, kept until it is deleted.
    Generate,
    /// A handle.
    Prefill,
}

/// A stream or a prefill that runs, waits or ended.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) kind: Kind,
    pub(super) prompt: String,
    pub(super) priority: u32,
    pub(super) arrival: u64,
    pub(super) blocks: Vec<u64>,
    /// Leading blocks that the job shares with the prefix cache.
    pub(super) shared: usize,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
    /// Prompt tokens not yet computed.
    pub(super) prefill_left: u64,
    /// KV memory that the job alone holds, in tokens.
    pub(super) held: u64,
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
            held: completion.prompt_tokens,
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
            held: prefill.prompt_tokens,
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

    /// Tells whether the next step gives the job a token.
    pub(super) fn decodes(&self) -> bool {
        self.running && self.prefill_left == 0 && self.kind == Kind::Generate
    }

    /// Returns the order in which jobs are served; lower goes first.
    pub(super) const fn rank(&self) -> (u32, u64) {
        (self.priority, self.arrival)
    }
}
