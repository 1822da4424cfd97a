use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::band::Band;
use kumquattiller_routing::prefix;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;
use crate::model::Model;
use crate::workload::Job;
use crate::workload::log_normal;
use crate::workload::pareto;

/// Share of prompts over 100,000 tokens: one in fifty.
const LONG_PROMPT_SHARE: f64 = 0.02;

/// Shape of the Pareto distribution of prompt lengths over 8,000 and up to 100,000 tokens.
const MIDDLE_PARETO_SHAPE: f64 = 1.0;

/// Shape of the Pareto distribution of prompt lengths over 100,000 tokens.
const LONG_PARETO_SHAPE: f64 = 1.5;

/// Sigma of the log-normal distribution of answer lengths.
const ANSWER_SIGMA: f64 = 0.9;

/// Minimum number of tokens in an answer.
const MIN_ANSWER_TOKENS: u64 = 16;

/// Maximum number of tokens in an answer.
const MAX_ANSWER_TOKENS: u64 = 4_096;

/// Share of requests that continue a session.
const SESSION_REUSE_SHARE: f64 = 0.5;

/// Share of a prompt that is the common prefix of its session.
const PREFIX_SHARE: f64 = 0.6;

/// Maximum number of sessions in one band that later requests may continue.
const MAX_SESSIONS: usize = 200;

/// Fixed part of the time until the deadline of a request.
const DEADLINE_BASE: Duration = Duration::from_secs(10);

/// Part of the time until the deadline, as a multiple of the time on an idle engine.
const DEADLINE_FACTOR: u32 = 4;

/// Number of low bits of a hash that distinguish the prefixes of a session.
const SESSION_SHIFT: u32 = 8;

/// A session that later requests may continue.
#[derive(Debug, Clone, Copy)]
struct Session {
    id: u64,
    prompt: Tokens,
}

/// Draws random requests for a deployment.
#[derive(Debug)]
pub struct Mix {
    middle_share: f64,
    model: Model,
    sessions: [Vec<Session>; 3],
    next_session: u64,
}

impl Mix {
    /// Creates the mix of requests of a deployment.
    pub fn new(deployment: Deployment, model: &Model) -> Self {
        let middle_share = match deployment {
            Deployment::Bayanihan => 0.13,
            Deployment::AddisKetema => 0.08,
        };
        Self { middle_share, model: *model, sessions: Default::default(), next_session: 0 }
    }

    /// Draws a request that arrives at `arrival`.
    pub fn draw(&mut self, arrival: Moment, rng: &mut ChaCha8Rng) -> Job {
        let band = self.draw_band(rng);
        let new_prompt = Self::draw_prompt(band, rng);
        let (session, prefix, prompt) = self.draw_session(band, new_prompt, rng);
        let mean = self.model.mean_answer.get() as f64;
        let drawn = log_normal(mean, ANSWER_SIGMA, rng) as u64;
        let answer = Tokens::new(drawn.clamp(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS));
        let max_answer = Tokens::new(answer.get().next_power_of_two());
        let idle = self.model.pace().service_time(prompt, max_answer);
        let deadline = arrival + DEADLINE_BASE + idle * DEADLINE_FACTOR;
        let blocks = prefix_hashes(session, prefix);
        Job { arrival, deadline, prompt, answer, max_answer, session, prefix, blocks }
    }

    fn draw_band(&self, rng: &mut ChaCha8Rng) -> Band {
        let uniform: f64 = rng.random();
        if uniform < LONG_PROMPT_SHARE {
            Band::Over100k
        } else if uniform < LONG_PROMPT_SHARE + self.middle_share {
            Band::From8kTo100k
        } else {
            Band::UpTo8k
        }
    }

    fn draw_prompt(band: Band, rng: &mut ChaCha8Rng) -> Tokens {
        match band {
            Band::UpTo8k => Tokens::new(log_normal(2_500.0, 0.6, rng).clamp(1e3, 8e3) as u64),
            Band::From8kTo100k => pareto(8_001.0, 100_000.0, MIDDLE_PARETO_SHAPE, rng),
            Band::Over100k => pareto(100_001.0, 1_000_000.0, LONG_PARETO_SHAPE, rng),
        }
    }

    /// Draws a session; returns its id, the length of its prefix and the length of the prompt.
    fn draw_session(
        &mut self,
        band: Band,
        new_prompt: Tokens,
        rng: &mut ChaCha8Rng,
    ) -> (u64, Tokens, Tokens) {
        let open_sessions = &mut self.sessions[band.priority() as usize];
        if !open_sessions.is_empty() && rng.random::<f64>() < SESSION_REUSE_SHARE {
            let session = open_sessions[rng.random_range(0..open_sessions.len())];
            return (session.id, prefix_length(session.prompt), session.prompt);
        }
        let session = Session { id: self.next_session, prompt: new_prompt };
        self.next_session += 1;
        if open_sessions.len() >= MAX_SESSIONS {
            open_sessions.remove(0);
        }
        open_sessions.push(session);
        (session.id, prefix_length(new_prompt), new_prompt)
    }
}

/// Returns the length of the prefix that a prompt shares with the other prompts of its session.
fn prefix_length(prompt: Tokens) -> Tokens {
    Tokens::new((prompt.get() as f64 * PREFIX_SHARE) as u64)
}

/// Returns the hashes of the prefixes of a session, up to `prefix` tokens.
pub fn prefix_hashes(session: u64, prefix: Tokens) -> Vec<u64> {
    let places = (0..).take_while(|&place| prefix::tokens(place) <= prefix);
    places.map(|place| (session << SESSION_SHIFT) | place as u64).collect()
}
