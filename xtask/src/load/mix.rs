use kumquattiller_base::size::Tokens;
use rand::Rng;
use rand::RngExt;

/// A mix of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Mix {
    /// Hotline summaries beside reviews of case files.
    Bayanihan,
    /// Evening drafts of invoices beside yearly reconciliations.
    AddisKetema,
    /// Prompts of a thousand tokens alone.
    Short,
}

/// The size of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the answer.
    pub answer: Tokens,
}

/// A part of a mix: its share of requests and the ranges of their sizes, in tokens.
struct Part {
    share: f64,
    prompt: (u64, u64),
    answer: (u64, u64),
}

const BAYANIHAN: [Part; 3] = [
    Part { share: 0.80, prompt: (1_000, 8_000), answer: (100, 600) },
    Part { share: 0.18, prompt: (8_001, 100_000), answer: (300, 1_200) },
    Part { share: 0.02, prompt: (100_001, 1_000_000), answer: (500, 1_500) },
];

const ADDIS_KETEMA: [Part; 3] = [
    Part { share: 0.88, prompt: (1_000, 4_000), answer: (50, 300) },
    Part { share: 0.10, prompt: (8_001, 60_000), answer: (200, 800) },
    Part { share: 0.02, prompt: (100_001, 1_000_000), answer: (500, 2_000) },
];

const SHORT: [Part; 1] = [Part { share: 1.0, prompt: (1_000, 1_000), answer: (8, 8) }];

impl Mix {
    /// Draws a request; sizes within a part are uniform in their logarithm.
    pub fn sample(self, rng: &mut impl Rng) -> Shape {
        let mut draw = rng.random::<f64>();
        let parts = self.parts();
        let found = parts.iter().find(|part| {
            draw -= part.share;
            draw < 0.0
        });
        let part = found.unwrap_or(&parts[0]);
        Shape { prompt: between(part.prompt, rng), answer: between(part.answer, rng) }
    }

    const fn parts(self) -> &'static [Part] {
        match self {
            Self::Bayanihan => &BAYANIHAN,
            Self::AddisKetema => &ADDIS_KETEMA,
            Self::Short => &SHORT,
        }
    }
}

/// Draws a size between two bounds, uniform in its logarithm.
fn between((low, high): (u64, u64), rng: &mut impl Rng) -> Tokens {
    let (low_ln, high_ln) = ((low as f64).ln(), (high as f64).ln());
    let drawn = (low_ln + (high_ln - low_ln) * rng.random::<f64>()).exp();
    Tokens::new((drawn as u64).clamp(low, high))
}
