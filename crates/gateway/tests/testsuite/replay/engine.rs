use std::collections::HashMap;

use kumquattiller_base::size::Tokens;
use kumquattiller_gateway::engine::Profile;

use super::job::Job;
use super::job::Kind;

/// Prompt tokens that a step prefills at most.
const STEP_TOKENS: f64 = 2_048.0;

/// A part of a prompt that waits for its prefill.
#[derive(Debug)]
pub struct Part {
    pub job: usize,
    pub urgent: bool,
    pub left_ms: f64,
}

/// A model engine.
#[derive(Debug, Default)]
pub struct Engine {
    pub waiting: Vec<Part>,
    pub decoding: Vec<usize>,
    prefilled: Vec<usize>,
    pass_end_ms: Option<f64>,
}

impl Engine {
    /// Ends the pass that is over by now; returns the jobs whose part it has prefilled.
    pub fn end_pass(&mut self, now_ms: u64) -> Option<Vec<usize>> {
        self.pass_end_ms.take_if(|end| *end <= now_ms as f64)?;
        Some(std::mem::take(&mut self.prefilled))
    }

    /// Starts a pass if none runs and there is something to do. `pace` multiplies its length.
    pub fn start_pass(
        &mut self,
        now_ms: u64,
        profile: &Profile,
        pace: f64,
        jobs: &HashMap<usize, Job>,
    ) {
        if self.pass_end_ms.is_some() || self.waiting.is_empty() && self.decoding.is_empty() {
            return;
        }
        self.waiting.sort_by_key(|part| !part.urgent);
        let most_ms = f64::from(profile.stride) * STEP_TOKENS / profile.prefill_tokens_per_ms;
        let mut prefill_ms = 0.0;
        for part in &mut self.waiting {
            let now = part.left_ms.min(most_ms - prefill_ms);
            part.left_ms -= now;
            prefill_ms += now;
        }
        let done = self.waiting.extract_if(.., |part| part.left_ms <= 0.0);
        self.prefilled = done.map(|part| part.job).collect();
        let tokens = |job: &usize| jobs[job].prompt.tokens.get();
        let context = Tokens::new(self.decoding.iter().map(tokens).sum());
        let decode_ms = profile.decode_pass_ms(self.decoding.len() as f64, context);
        self.pass_end_ms = Some(now_ms as f64 + (decode_ms + prefill_ms) * pace);
    }
}

impl Part {
    pub fn new(job: usize, kind: Kind, left_ms: f64) -> Self {
        Self { job, urgent: kind == Kind::Short, left_ms }
    }
}
