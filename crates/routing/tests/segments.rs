//! Tests of splitting prompts that are larger than an engine.

use kumquattiller_base::size::Tokens;
use kumquattiller_routing::long::Part;
use kumquattiller_routing::long::split_prompt;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

/// Seed of the generated prompts.
const SEED: [u8; 32] = [17; 32];
/// Number of cases when `KUMQUATTILLER_CASES` is not set.
const DEFAULT_CASES: u32 = 256;

fn runner() -> TestRunner {
    let text = std::env::var("KUMQUATTILLER_CASES").ok();
    let cases = text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_CASES);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn parts(sizes: &[u64]) -> Vec<Part> {
    let part = |(index, tokens): (usize, &u64)| Part {
        runner: format!("runner-{index}").parse().expect("valid name"),
        tokens: Tokens::new(*tokens),
    };
    sizes.iter().enumerate().map(part).collect()
}

#[test]
fn segments_cover_the_whole_prompt_and_fit_their_parts() {
    let inputs = (vec(16_384_u64..450_000, 1..6), 0.0..1.0_f64, 1_u64..16_384, "\\PC{0,200}");
    let outcome = runner().run(&inputs, |(sizes, share, response, text)| {
        let total: u64 = sizes.iter().sum();
        let prompt = ((total - response) as f64 * share) as u64;
        let segments = split_prompt(&parts(&sizes), Tokens::new(prompt), text.as_bytes());
        let sum: u64 = segments.iter().map(|segment| segment.tokens.get()).sum();
        prop_assert_eq!(sum, prompt);
        let joined: String = segments.iter().map(|s| &text[s.bytes.clone()]).collect();
        prop_assert_eq!(joined, text);
        for (index, segment) in segments.iter().enumerate() {
            let part = parts(&sizes).into_iter().find(|p| p.runner == segment.runner);
            let capacity = part.expect("a part for each segment").tokens.get();
            let is_last = index + 1 == segments.len();
            let needed = segment.tokens.get() + if is_last { response } else { 0 };
            prop_assert!(needed <= capacity, "{needed} tokens on {capacity}");
        }
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
