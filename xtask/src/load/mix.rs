use kumquattiller_base::size::Tokens;
use rand::Rng;
use rand::RngExt;

/// A workload: the distribution of request sizes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Mix {
    /// Summaries of hotline calls and reviews of case files.
    Bayanihan,
    /// Drafts of invoices in the evening and yearly reconciliations.
    AddisKetema,
    /// Prompts of 1,000 tokens only.
    Short,
}

/// The size of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Length of the completion.
    pub completion: Tokens,
}

/// A part of a mix: its share of the requests and the ranges of their sizes, in tokens.
struct Part {
    share: f64,
    prompt: (u64, u64),
    completion: (u64, u64),
}

const BAYANIHAN: [Part; 3] = [
    Part { share: 0.80, prompt: (1_000, 8_000), completion: (100, 600) },
    Part { share: 0.18, prompt: (8_001, 100_000), completion: (300, 1_200) },
    Part { share: 0.02, prompt: (100_001, 1_000_000), completion: (500, 1_500) },
];

const ADDIS_KETEMA: [Part; 3] = [
    Part { share: 0.88, prompt: (1_000, 4_000), completion: (50, 300) },
    Part { share: 0.10, prompt: (8_001, 60_000), completion: (200, 800) },
    Part { share: 0.02, prompt: (100_001, 1_000_000), completion: (500, 2_000) },
];

const SHORT: [Part; 1] = [Part { share: 1.0, prompt: (1_000, 1_000), completion: (8, 8) }];

impl Mix {
    /// Samples a request; sizes within a part are log-uniform.
    pub fn sample(self, rng: &mut impl Rng) -> Shape {
        let mut remaining = rng.random::<f64>();
        let parts = self.parts();
        let found = parts.iter().find(|part| {
            remaining -= part.share;
            remaining < 0.0
        });
        let part = found.unwrap_or(&parts[0]);
        Shape {
            prompt: sample_log_uniform(part.prompt, rng),
            completion: sample_log_uniform(part.completion, rng),
        }
    }

    const fn parts(self) -> &'static [Part] {
        match self {
            Self::Bayanihan => &BAYANIHAN,
            Self::AddisKetema => &ADDIS_KETEMA,
            Self::Short => &SHORT,
        }
    }
}

/// Samples a size between two bounds from the log-uniform distribution.
fn sample_log_uniform((low, high): (u64, u64), rng: &mut impl Rng) -> Tokens {
    let (low_ln, high_ln) = ((low as f64).ln(), (high as f64).ln());
    let drawn = (low_ln + (high_ln - low_ln) * rng.random::<f64>()).exp();
    Tokens::new((drawn as u64).clamp(low, high))
}
