//! Placement of prompts that exceed the memory of one engine.

use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_gateway::dialect::Prompt;
use kumquattiller_gateway::load::Demand;
use kumquattiller_gateway::load::Load;
use kumquattiller_gateway::load::Streams;
use kumquattiller_gateway::placement::Candidate;
use kumquattiller_gateway::placement::Declined;
use kumquattiller_gateway::placement::Placement;
use kumquattiller_gateway::placement::Reason;
use kumquattiller_gateway::placement::Request;
use kumquattiller_gateway::placement::place_prompt;
use proptest::prelude::*;

use crate::support::PROFILE;
use crate::support::cases;

/// Fixed seed of the property's cases.
const SEED: u64 = 0x5eed_0104;

fn place(tokens: u64, loads: &[Load], demand: &Demand) -> Result<Placement, Declined> {
    let name = |n: usize| format!("server-{n}").parse().unwrap();
    let candidates: Vec<Candidate> =
        loads.iter().enumerate().map(|(n, l)| Candidate::new(name(n), *l, 16)).collect();
    let prompt = Prompt { tokens: Tokens::new(tokens), max_output: Tokens::new(1_000) };
    let request = Request {
        prompt: &prompt,
        target_latency: Duration::from_secs(3),
        target_gap: Duration::from_millis(800),
        profile: &PROFILE,
    };
    place_prompt(&request, &candidates, demand, 0.0)
}

fn busy() -> Load {
    let mut load = Load { requests: 6, interactive: 6, decoding: 6, ..Load::default() };
    load.streams[0] = Streams { value: 9.0, target_gap_ms: 200.0 };
    load
}

proptest! {
    #![proptest_config(cases(SEED))]

    /// The holders and the free memory of the first server suffice for the whole prompt, and no
    /// server is assigned more than its free memory.
    #[test]
    fn a_placement_fits_the_free_memory_of_its_servers(
        tokens in 440_000..1_000_000_u64,
        used in proptest::collection::vec(0..450_000_u64, 1..20),
    ) {
        let loads: Vec<Load> = used.iter().map(|m| Load { memory: *m, ..Load::default() }).collect();
        let Ok(placement) = place(tokens, &loads, &Demand::default()) else {
            return Ok(());
        };
        let free = |id: &str| {
            let index: usize = id.strip_prefix("server-").unwrap().parse().unwrap();
            450_000 - used[index]
        };
        let held: u64 = placement.holders.iter().map(|(_, t)| t.get()).sum();
        prop_assert!(tokens + 1_000 - held <= free(placement.server.as_str()));
        for (id, tokens) in &placement.holders {
            prop_assert!(tokens.get() <= free(id.as_str()));
            prop_assert!(placement.helpers.contains(id));
        }
        prop_assert!(placement.helpers.len() <= 16);
        prop_assert!(!placement.helpers.contains(&placement.server));
    }
}

#[test]
fn an_idle_fleet_serves_a_million_tokens() {
    let placement = place(1_000_000, &[Load::default(); 14], &Demand::default()).unwrap();
    assert_eq!(placement.reason, Reason::Joint);
    assert!(placement.first_ms < 15_000.0);
}

#[test]
fn a_busy_fleet_refuses_a_prompt_that_costs_other_requests_too_much() {
    let demand = Demand { long_ms_per_s: 7_000.0, short_per_s: 50.0 };
    let placement = place(1_000_000, &[busy(); 14], &demand);
    assert!(matches!(placement, Err(Declined::TooCostly { others, gain }) if others > gain * 0.45));
}

#[test]
fn a_prompt_over_one_engines_memory_fails_on_a_single_server() {
    let placement = place(1_000_000, &[Load::default()], &Demand::default());
    assert_eq!(placement, Err(Declined::NoMemory));
}

/// A prompt that nearly fills an engine's memory is placed only on a server with enough free
/// memory, if there is one.
#[test]
fn a_prompt_that_one_engine_just_holds_goes_to_an_empty_server() {
    let used = Load { memory: 60_000, requests: 1, decoding: 1, ..Load::default() };
    let mut loads = [used; 14];
    loads[9] = Load::default();
    for _ in 0..20 {
        let placement = place(425_000, &loads, &Demand::default()).unwrap();
        assert_eq!((placement.server.as_str(), placement.holders.len()), ("server-9", 0));
    }
}
