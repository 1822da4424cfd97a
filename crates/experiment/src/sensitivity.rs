//! Sensitivity of the main metrics to halving and doubling each parameter of the time model.

use kumquattiller_routing::policy::Policy;
use strum::IntoEnumIterator;

use crate::deployment::Deployment;
use crate::model::Parameter;
use crate::options::Options;
use crate::suite;
use crate::summary::Key;
use crate::summary::Summary;
use crate::summary::summaries;

/// Load of the sensitivity runs, in percent of the capacity.
const LOAD_PERCENT: u64 = 80;

/// Factors that each parameter is multiplied by.
const FACTORS: [f64; 2] = [0.5, 2.0];

/// Column headings of the rows that [`run`] returns.
pub const COLUMNS: [&str; 9] = [
    "parameter",
    "factor",
    "deployment",
    "slowdown p95 up to 8k",
    "worst seed",
    "least_outstanding",
    "first token p95 over 100k s",
    "best baseline s",
    "late",
];

/// Runs the suite unchanged, then with each parameter halved and doubled, and returns a row per
/// deployment for each.
pub fn run(options: &Options) -> Vec<Vec<String>> {
    let mut rows = rows("none", 1.0, options);
    for parameter in Parameter::iter() {
        for factor in FACTORS {
            let model = options.model.scaled(parameter, factor);
            let options = Options { model, ..options.clone() };
            rows.extend(self::rows(&parameter.to_string(), factor, &options));
        }
    }
    rows
}

fn rows(parameter: &str, factor: f64, options: &Options) -> Vec<Vec<String>> {
    let policies = vec![
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
        Policy::Kumquattiller,
    ];
    let loads = vec![LOAD_PERCENT as f64 / 100.0];
    let options = Options { policies, loads, ..options.clone() };
    let all = summaries(&suite::run(&options));
    let row = |d: &Deployment| {
        let get = |policy: Policy, band: &str| find(&all, *d, policy, band);
        let short = get(Policy::Kumquattiller, "up_to_8k");
        let long = get(Policy::Kumquattiller, "over_100k");
        let middle = get(Policy::Kumquattiller, "8k_to_100k");
        let short_least_outstanding = get(Policy::LeastOutstanding, "up_to_8k");
        let baselines = [Policy::RoundRobin, Policy::LeastOutstanding, Policy::TwoChoices];
        let best = baselines.map(|p| get(p, "over_100k").ttft_p95_s);
        let best = best.into_iter().fold(f64::INFINITY, f64::min);
        vec![
            parameter.to_owned(),
            factor.to_string(),
            d.to_string(),
            format!("{:.3}", short.slowdown_p95),
            format!("{:.3}", short.worst_slowdown_p95),
            format!("{:.3}", short_least_outstanding.slowdown_p95),
            format!("{:.1}", long.ttft_p95_s),
            format!("{best:.1}"),
            (short.late + middle.late + long.late).to_string(),
        ]
    };
    options.deployments.iter().map(row).collect()
}

fn find(
    all: &std::collections::BTreeMap<Key, Summary>,
    deployment: Deployment,
    policy: Policy,
    band: &str,
) -> Summary {
    let key = Key {
        deployment: deployment.to_string(),
        policy: policy.to_string(),
        load_percent: LOAD_PERCENT,
        prompt_band: band.to_owned(),
    };
    all.get(&key).copied().unwrap_or_default()
}
