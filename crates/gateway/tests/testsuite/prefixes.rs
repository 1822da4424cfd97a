//! Beliefs about the prompt prefixes that servers hold, and what reuse saves.

use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::dialect::Prompt;
use kumquattiller_gateway::dialect::PromptPart;
use kumquattiller_gateway::load::Demand;
use kumquattiller_gateway::load::Load;
use kumquattiller_gateway::placement;
use kumquattiller_gateway::placement::Candidate;
use kumquattiller_gateway::placement::Placement;
use kumquattiller_gateway::placement::place_prompt;
use kumquattiller_gateway::prefix::Copy;
use kumquattiller_gateway::prefix::MAX_REPORTS;
use kumquattiller_gateway::prefix::Prefix;
use kumquattiller_gateway::prefix::RETENTION;
use kumquattiller_gateway::prefix::Table;
use test_case::test_case;

use crate::support::PROFILE;

const START: Moment = Moment::from_millis(100_000);
/// Capacity of the cache of each server.
const CAPACITY: Tokens = Tokens::new(20_000);

fn id(name: &str) -> runner::Id {
    name.parse().unwrap()
}

/// Returns the prefixes of a prompt whose parts have these ids and lengths.
fn prompt(parts: &[(&str, u64)]) -> Vec<Prefix> {
    let part = |(id, tokens): &(&str, u64)| PromptPart {
        fingerprint: Fingerprint::of_prompt_part(id),
        tokens: Tokens::new(*tokens),
    };
    Prefix::of_parts(&parts.iter().map(part).collect::<Vec<_>>())
}

fn table_with(server: &str, prompts: &[&[(&str, u64)]]) -> Table {
    let mut table = Table::default();
    for parts in prompts {
        table.record(&id(server), &prompt(parts), CAPACITY, START);
    }
    table
}

fn longest(table: &Table, parts: &[(&str, u64)]) -> u64 {
    let copies = table.copies(&prompt(parts), START);
    copies.first().map_or(0, |copy| copy.tokens.get())
}

/// Guards against the reuse of a part behind a different beginning: its KV memory depends on all
/// tokens before it.
#[test_case(&[("system", 800), ("session", 400), ("turn", 90)], 1_200; "both parts")]
#[test_case(&[("system", 800), ("other", 400)], 800; "the first part only")]
#[test_case(&[("other", 800), ("session", 400)], 0; "another beginning")]
fn only_the_common_beginning_is_reused(parts: &[(&str, u64)], expected: u64) {
    let table = table_with("a", &[&[("system", 800), ("session", 400)]]);
    assert_eq!(longest(&table, parts), expected);
}

/// Guards against a belief in what the server has dropped for other prompts.
#[test]
fn the_least_recently_used_prefix_is_given_up_first() {
    let table = table_with(
        "a",
        &[&[("one", 9_000)], &[("two", 9_000)], &[("one", 9_000)], &[("three", 9_000)]],
    );
    let held = ["one", "two", "three"].map(|name| longest(&table, &[(name, 9_000)]));
    assert_eq!(held, [9_000, 0, 9_000]);
}

/// Guards against a single prompt that empties the cache of everything that others share.
#[test]
fn a_prompt_larger_than_half_of_the_cache_replaces_nothing() {
    let table = table_with("a", &[&[("shared", 9_000)], &[("huge", 11_000)]]);
    assert_eq!(longest(&table, &[("shared", 9_000)]), 9_000);
    assert_eq!(longest(&table, &[("huge", 11_000)]), 0);
}

/// Guards against requests that wait for a server that has lost its memory in a restart.
#[test]
fn a_restarted_server_holds_nothing() {
    let mut table = table_with("a", &[&[("shared", 900)]]);
    table.forget(&id("a"));
    assert_eq!(longest(&table, &[("shared", 900)]), 0);
    table.record(&id("a"), &prompt(&[("shared", 900)]), CAPACITY, START);
    assert_eq!(longest(&table, &[("shared", 900)]), 900);
}

fn copy(tokens: u64, age: Duration) -> Copy {
    Copy { server: id("a"), tokens: Tokens::new(tokens), age }
}

/// Guards against an old belief that outweighs a wait.
#[test]
fn a_belief_counts_less_the_older_it_is() {
    let free = Tokens::new(450_000);
    let saved = |age| copy(10_000, age).saved_ms(&PROFILE, free);
    let whole = PROFILE.prefill_ms(Tokens::new(10_000));
    assert!((saved(Duration::ZERO) - whole).abs() < 1e-9);
    assert!((saved(RETENTION / 2) - whole / 2.0).abs() < 1e-9);
    assert_eq!(saved(RETENTION), 0.0);
}

/// Guards against savings on a server whose memory is taken by running requests.
#[test_case(10_000, 10_000; "room for all of it")]
#[test_case(4_000, 4_000; "room for a part")]
#[test_case(0, 0; "no room")]
fn only_what_fits_into_free_memory_is_saved(free: u64, expected: u64) {
    let saved = copy(10_000, Duration::ZERO).saved_ms(&PROFILE, Tokens::new(free));
    assert!((saved - PROFILE.prefill_ms(Tokens::new(expected))).abs() < 1e-9);
}

/// Guards against reports that grow with the number of prefixes, and against a hot prefix that is
/// not among the reported ones.
#[test]
fn the_prefixes_used_most_are_reported_first() {
    let mut table = Table::default();
    for n in 0..3 * MAX_REPORTS {
        let name = format!("part-{n}");
        table.record(&id("a"), &prompt(&[(&name, 100)]), CAPACITY, START);
    }
    let hot = prompt(&[("part-40", 100)]);
    table.record(&id("a"), &hot, CAPACITY, START);
    let reports = table.take_reports(|_| Some(7), START);
    assert_eq!(reports.len(), MAX_REPORTS);
    assert_eq!(reports[0].hash, hot[0].hash);
    assert!(table.take_reports(|_| Some(7), START).is_empty());
}

/// Guards against beliefs of peers about a server that this daemon does not know, or that are older
/// than its own.
#[test]
fn reports_of_peers_are_applied_with_their_age() {
    let mut peer = table_with("a", &[&[("shared", 900)]]);
    let later = START + Duration::from_secs(10);
    let reports = peer.take_reports(|_| Some(7), later);
    let mut table = Table::default();
    table.merge(&reports, |_| None, later);
    assert_eq!(table.server_count(), 0);
    table.merge(&reports, |key| (key == 7).then_some((id("b"), CAPACITY)), later);
    let copies = table.copies(&prompt(&[("shared", 900)]), later);
    assert_eq!(copies.len(), 1);
    assert_eq!((copies[0].server.as_str(), copies[0].age), ("b", Duration::from_secs(10)));
    table.record(&id("b"), &prompt(&[("shared", 900)]), CAPACITY, later);
    table.merge(&reports, |_| Some((id("b"), CAPACITY)), later);
    assert_eq!(table.copies(&prompt(&[("shared", 900)]), later)[0].age, Duration::ZERO);
}

/// Guards against beliefs that are never removed.
#[test]
fn unused_and_unknown_beliefs_expire() {
    let mut table = table_with("a", &[&[("one", 900)]]);
    table.record(&id("b"), &prompt(&[("two", 900)]), CAPACITY, START + RETENTION / 2);
    table.expire(START + RETENTION, |_| true);
    assert_eq!(longest(&table, &[("one", 900)]), 0);
    assert_eq!(longest(&table, &[("two", 900)]), 900);
    table.expire(START + RETENTION, |_| false);
    assert_eq!(table.server_count(), 0);
}

/// Number of servers that a prompt is placed on.
const SERVER_COUNT: usize = 12;

/// Servers that each do the given work, in milliseconds; `a` holds a beginning that saves `saved_ms`.
fn candidates(backlog_ms: impl Fn(usize) -> f64, saved_ms: f64) -> Vec<Candidate> {
    let candidate = |n: usize| {
        let load =
            Load { backlog_ms: backlog_ms(n), unanswered_ms: backlog_ms(n), ..Load::default() };
        let name = char::from(b'a' + n as u8).to_string();
        let saved_ms = if n == 0 { saved_ms } else { 0.0 };
        Candidate { saved_ms, ..Candidate::new(id(&name), load, 16) }
    };
    (0..SERVER_COUNT).map(candidate).collect()
}

fn place(tokens: u64, candidates: &[Candidate]) -> Placement {
    let prompt = Prompt { tokens: Tokens::new(tokens), max_output: Tokens::new(100) };
    let request = placement::Request {
        prompt: &prompt,
        target_latency: Duration::from_millis(300),
        target_gap: Duration::from_millis(250),
        profile: &PROFILE,
    };
    place_prompt(&request, candidates, &Demand::default(), 0.0).unwrap()
}

/// Guards against a beginning that is computed again although its holder is idle.
#[test]
fn an_idle_holder_gets_the_prompt() {
    for tokens in [8_000, 60_000] {
        let saved_ms = PROFILE.prefill_ms(Tokens::new(tokens * 9 / 10));
        let placement = place(tokens, &candidates(|_| 0.0, saved_ms));
        assert_eq!(placement.server, id("a"), "{tokens} tokens");
        let part_ms = PROFILE.prefill_ms(Tokens::new(tokens)) - saved_ms;
        assert!((placement.part_ms - part_ms).abs() < 1e-6, "{placement:?}");
    }
}

/// Guards against a hot beginning whose requests all wait for one server: what is saved is less
/// than the wait there.
#[test]
fn a_busy_holder_loses_the_prompt_to_an_idle_server() {
    let saved_ms = PROFILE.prefill_ms(Tokens::new(7_200));
    let busy_holder = candidates(|n| if n == 0 { 400.0 } else { 0.0 }, saved_ms);
    assert_ne!(place(8_000, &busy_holder).server, id("a"));
}

/// Guards against decisions that change on deployments whose engines keep nothing.
#[test]
fn without_savings_the_whole_prompt_is_placed_as_before() {
    for tokens in [8_000, 60_000] {
        let placement = place(tokens, &candidates(|n| n as f64, 0.0));
        let parts = placement.helpers.len() + 1;
        let whole_ms = placement.part_ms * parts as f64;
        assert!((whole_ms - PROFILE.prefill_ms(Tokens::new(tokens))).abs() < 1e-6);
        assert_ne!(placement.reason, placement::Reason::HeldPrefix);
    }
}

/// Number of requests of a load that shares one beginning, per server.
const REQUESTS_PER_SERVER: usize = 3;

/// Guards against a hot beginning that stays at one server: with each request that is sent there,
/// the wait grows until another server costs less, which then holds it as well. When the load has
/// gone, a request goes to a holder again.
#[test]
fn a_hot_beginning_spreads_with_its_load_and_comes_together_again() {
    let beginning = prompt(&[("hot", 7_200)]);
    let capacity = Tokens::new(40_000);
    let mut table = Table::default();
    table.record(&id("a"), &beginning, capacity, START);
    let mut servers = candidates(|_| 0.0, 0.0);
    let mut used = BTreeSet::new();
    let mut used_at_first = 0;
    for n in 0..SERVER_COUNT * REQUESTS_PER_SERVER {
        apply_savings(&table, &beginning, &mut servers);
        let placement = place(8_000, &servers);
        table.record(&placement.server, &beginning, capacity, START);
        let server = servers.iter_mut().find(|c| c.id == placement.server).unwrap();
        server.load.backlog_ms += placement.part_ms;
        server.load.unanswered_ms += placement.part_ms;
        used.insert(placement.server);
        used_at_first = if n == 0 { used.len() } else { used_at_first };
    }
    assert_eq!(used_at_first, 1);
    assert!(used.len() > 1, "{used:?}");
    servers.iter_mut().for_each(|c| c.load = Load::default());
    apply_savings(&table, &beginning, &mut servers);
    assert!(used.contains(&place(8_000, &servers).server));
}

fn apply_savings(table: &Table, prefixes: &[Prefix], servers: &mut [Candidate]) {
    for copy in table.copies(prefixes, START) {
        let server = servers.iter_mut().find(|c| c.id == copy.server).unwrap();
        server.saved_ms = copy.saved_ms(&PROFILE, PROFILE.memory);
    }
}
