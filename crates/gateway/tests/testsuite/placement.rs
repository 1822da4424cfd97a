//! Placement with mixed loads of short and long prompts.

use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_gateway::dialect::Prompt;
use kumquattiller_gateway::load::Demand;
use kumquattiller_gateway::load::Load;
use kumquattiller_gateway::load::Streams;
use kumquattiller_gateway::pace::Pace;
use kumquattiller_gateway::placement::Candidate;
use kumquattiller_gateway::placement::Declined;
use kumquattiller_gateway::placement::Division;
use kumquattiller_gateway::placement::Placement;
use kumquattiller_gateway::placement::Request;
use kumquattiller_gateway::placement::first_urgency;
use kumquattiller_gateway::placement::is_long;
use kumquattiller_gateway::placement::place_plain;
use kumquattiller_gateway::placement::place_prompt;

use crate::support::PROFILE;

/// Returns the load of a server that generates `count` interactive streams.
fn decoding(count: u32) -> Load {
    let mut load = Load { requests: count, interactive: count, decoding: count, ..Load::default() };
    load.streams[0] = Streams { value: f64::from(count) * 1.5, target_gap_ms: 200.0 };
    load
}

fn candidates(loads: &[Load]) -> Vec<Candidate> {
    let name = |n: usize| format!("server-{n}").parse().unwrap();
    loads.iter().enumerate().map(|(n, load)| Candidate::new(name(n), *load, 16)).collect()
}

fn place(
    tokens: u64,
    target_latency_ms: u64,
    target_gap_ms: u64,
    candidates: &[Candidate],
) -> Placement {
    let prompt = Prompt { tokens: Tokens::new(tokens), max_output: Tokens::new(1_000) };
    let request = Request {
        prompt: &prompt,
        target_latency: Duration::from_millis(target_latency_ms),
        target_gap: Duration::from_millis(target_gap_ms),
        profile: &PROFILE,
    };
    place_prompt(&request, candidates, &Demand::default(), 0.0).unwrap()
}

fn load<'a>(candidates: &'a [Candidate], placement: &Placement) -> &'a Load {
    &candidates.iter().find(|c| c.id == placement.server).unwrap().load
}

#[test]
fn a_short_prompt_avoids_servers_with_a_long_backlog() {
    let long = Load { backlog_ms: 400.0, requests: 1, ..Load::default() };
    let busy = decoding(8);
    let candidates = candidates(&[long, busy, long]);
    assert_eq!(load(&candidates, &place(5_000, 300, 200, &candidates)), &busy);
}

#[test]
fn a_long_prompt_avoids_servers_with_interactive_streams() {
    let decoding = decoding(6);
    let candidates = candidates(&[decoding, decoding, Load::default(), decoding]);
    let placement = place(80_000, 3_000, 800, &candidates);
    assert_eq!(load(&candidates, &placement), &Load::default());
    assert!(placement.helpers.is_empty());
}

/// Servers that the interactive streams do not need stay free of them, so that a burst of long
/// prompts can be placed at once.
#[test]
fn interactive_streams_get_no_more_servers_than_they_need() {
    let candidates = candidates(&[Load::default(); 14]);
    let demand = Demand { long_ms_per_s: 0.0, short_per_s: 20.0 };
    let division = Division::of(&candidates, &demand);
    assert_eq!((division.long.len(), division.short.len()), (11, 3));
}

/// Another long prefill causes no loss to streams that are late already, so it is placed there.
#[test]
fn a_long_prompt_goes_where_streams_are_late_already() {
    let late = Load { streams: Default::default(), ..decoding(6) };
    let candidates = candidates(&[decoding(6), late, decoding(6)]);
    assert_eq!(load(&candidates, &place(80_000, 3_000, 800, &candidates)), &late);
}

#[test]
fn a_prompt_is_split_where_small_parts_cause_no_delay() {
    let decoding = decoding(4);
    let placement = place(45_000, 1_500, 500, &candidates(&[decoding; 14]));
    assert!(placement.part_ms < 110.0, "{} ms", placement.part_ms);
}

#[test]
fn a_prompt_that_would_be_late_on_one_server_is_split() {
    let placement = place(400_000, 3_000, 800, &candidates(&[Load::default(); 14]));
    assert!(placement.first_ms < 3_000.0, "{} ms", placement.first_ms);
    assert!(placement.helpers.len() <= 16);
}

#[test]
fn a_prompt_goes_to_a_server_with_enough_free_memory() {
    let full = Load { requests: 2, decoding: 2, memory: 400_000, ..Load::default() };
    let waiting = Load { backlog_ms: 300.0, requests: 1, ..Load::default() };
    let candidates = candidates(&[full, waiting, full]);
    assert_eq!(load(&candidates, &place(110_000, 3_000, 800, &candidates)), &waiting);
}

#[test]
fn a_helper_is_never_the_server_itself() {
    for tokens in [30_000, 120_000, 400_000, 1_000_000] {
        let placement = place(tokens, 3_000, 800, &candidates(&[Load::default(); 20]));
        assert!(!placement.helpers.contains(&placement.server));
    }
}

#[test]
fn a_prompt_is_long_if_its_prefill_makes_interactive_streams_late() {
    let prompt = |tokens| Prompt { tokens: Tokens::new(tokens), max_output: Tokens::ZERO };
    assert!(!is_long(&prompt(23_800), &PROFILE));
    assert!(is_long(&prompt(30_000), &PROFILE));
}

#[test]
fn a_plain_request_goes_to_the_server_with_the_fewest_requests() {
    let load = |requests| Load { requests, ..Load::default() };
    let candidates = candidates(&[load(3), load(1), load(2)]);
    for draw in [0.0, 0.5, 0.999] {
        assert_eq!(place_plain(&candidates, draw).unwrap().server, candidates[1].id);
    }
}

#[test]
fn ties_are_broken_by_the_random_number() {
    let candidates = candidates(&[Load::default(); 3]);
    let chosen = |draw| place_plain(&candidates, draw).unwrap().server;
    assert_ne!(chosen(0.1), chosen(0.9));
}

#[test]
fn placement_fails_without_servers() {
    assert_eq!(place_plain(&[], 0.5), Err(Declined::NoServer));
}

/// Answers a burst of large prompts: the parts of later prompts are prefilled first, so that a
/// prompt which shares its servers with later ones comes seconds after it was foreseen.
#[test]
fn a_large_prompt_avoids_servers_at_which_urgent_prompts_wait() {
    let urgency = first_urgency(Tokens::new(160_000), Duration::from_secs(3));
    let waiting = Load { backlog_ms: 300.0, requests: 1, urgency, ..Load::default() };
    let served = Load { urgency: 0.0, ..waiting };
    let loads: Vec<Load> = (0..16).map(|n| if n % 2 == 0 { waiting } else { served }).collect();
    let candidates = candidates(&loads);
    let placement = place(160_000, 3_000, 1_000, &candidates);
    let servers = std::iter::once(&placement.server).chain(&placement.helpers);
    let urgent = servers.filter(|id| candidates.iter().any(|c| c.id == **id && c.load == waiting));
    assert_eq!(urgent.count(), 0, "{placement:?}");
}

/// Guards against sending a slow server as much as the others until its backlog shows it.
#[test]
fn a_prompt_avoids_a_slow_server() {
    let mut candidates = candidates(&[Load::default(); 4]);
    candidates.sort_by_key(|c| c.rank);
    candidates[3].pace = Pace::new(5.0);
    for tokens in [5_000, 60_000] {
        let placement = place(tokens, 1_500, 250, &candidates);
        assert_ne!(placement.server, candidates[3].id);
        assert!(!placement.helpers.contains(&candidates[3].id));
    }
}
