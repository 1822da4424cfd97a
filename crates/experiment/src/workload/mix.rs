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
const LONG_SHARE: f64 = 0.02;

/// Shape of the lengths over 8,000 and up to 100,000 tokens.
const MIDDLE_SHAPE: f64 = 1.0;

/// Shape of the lengths over 100,000 tokens.
const LONG_SHAPE: f64 = 1.5;

/// Spread of answer lengths.
const ANSWER_SIGMA: f64 = 0.9;

/// Fewest tokens of an answer.
const MIN_ANSWER: u64 = 16;

/// Most tokens of an answer.
const MAX_ANSWER: u64 = 4_096;

/// Share of requests that go on with a session.
const SESSION_SHARE: f64 = 0.5;

/// Share of a prompt that the requests of its session have in common.
const PREFIX_SHARE: f64 = 0.6;

/// Sessions of one band that may go on.
const MAX_SESSIONS: usize = 200;

/// Time that a request is given beside a multiple of its time on an idle engine.
const DEADLINE_BASE: Duration = Duration::from_secs(10);

/// Multiple of its time on an idle engine that a request is given.
const DEADLINE_FACTOR: u32 = 4;

/// Bits of a hash that tell the prefixes of a session apart.
const SESSION_SHIFT: u32 = 8;

/// A session that may go on.
#[derive(Debug, Clone, Copy)]
struct Session {
    id: u64,
    prompt: Tokens,
}

/// Draws requests of a deployment.
#[derive(Debug)]
pub struct Mix {
    middle_share: f64,
    model: Model,
    sessions: [Vec<Session>; 3],
    next_session: u64,
}

impl Mix {
    /// Makes the mix of a deployment.
    pub fn new(deployment: Deployment, model: &Model) -> Self {
        let middle_share = match deployment {
            Deployment::Bayanihan => 0.13,
            Deployment::AddisKetema => 0.08,
        };
        Self { middle_share, model: *model, sessions: Default::default(), next_session: 0 }
    }

    /// Draws a request that arrives at `arrival`.
    pub fn draw(&mut self, arrival: Moment, rng: &mut ChaCha8Rng) -> Job {
        let band = self.band(rng);
        let fresh = Self::prompt(band, rng);
        let (session, prefix, prompt) = self.session(band, fresh, rng);
        let mean = self.model.mean_answer.get() as f64;
        let drawn = log_normal(mean, ANSWER_SIGMA, rng) as u64;
        let answer = Tokens::new(drawn.clamp(MIN_ANSWER, MAX_ANSWER));
        let max_answer = Tokens::new(answer.get().next_power_of_two());
        let idle = self.model.pace().service_time(prompt, max_answer);
        let deadline = arrival + DEADLINE_BASE + idle * DEADLINE_FACTOR;
        let blocks = blocks(session, prefix);
        Job { arrival, deadline, prompt, answer, max_answer, session, prefix, blocks }
    }

    fn band(&self, rng: &mut ChaCha8Rng) -> Band {
        let uniform: f64 = rng.random();
        if uniform < LONG_SHARE {
            Band::Over100k
        } else if uniform < LONG_SHARE + self.middle_share {
            Band::From8kTo100k
        } else {
            Band::UpTo8k
        }
    }

    fn prompt(band: Band, rng: &mut ChaCha8Rng) -> Tokens {
        match band {
            Band::UpTo8k => Tokens::new(log_normal(2_500.0, 0.6, rng).clamp(1e3, 8e3) as u64),
            Band::From8kTo100k => pareto(8_001.0, 100_000.0, MIDDLE_SHAPE, rng),
            Band::Over100k => pareto(100_001.0, 1_000_000.0, LONG_SHAPE, rng),
        }
    }

    /// Returns the session, the tokens it shares with the prompt, and the prompt's length.
    fn session(
        &mut self,
        band: Band,
        fresh: Tokens,
        rng: &mut ChaCha8Rng,
    ) -> (u64, Tokens, Tokens) {
        let known = &mut self.sessions[band.priority() as usize];
        if !known.is_empty() && rng.random::<f64>() < SESSION_SHARE {
            let session = known[rng.random_range(0..known.len())];
            return (session.id, shared(session.prompt), session.prompt);
        }
        let session = Session { id: self.next_session, prompt: fresh };
        self.next_session += 1;
        if known.len() >= MAX_SESSIONS {
            known.remove(0);
        }
        known.push(session);
        (session.id, shared(fresh), fresh)
    }
}

fn shared(prompt: Tokens) -> Tokens {
    Tokens::new((prompt.get() as f64 * PREFIX_SHARE) as u64)
}

/// Returns a hash for each prefix that the requests of a session share.
pub fn blocks(session: u64, shared: Tokens) -> Vec<u64> {
    let places = (0..).take_while(|&place| prefix::tokens(place) <= shared);
    places.map(|place| (session << SESSION_SHIFT) | place as u64).collect()
}
