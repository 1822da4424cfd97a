use std::collections::BTreeSet;

use kumquattiller_base::fingerprint::Fingerprint;

use crate::suspect::Crash;
use crate::suspect::Feature;
use crate::suspect::record::CRASH_LIMIT;

/// A feature with the crashes that it may have caused.
#[derive(Debug, Clone)]
pub struct Candidate {
    pub feature: Feature,
    pub crashes: BTreeSet<Crash>,
}

/// Features that together crash servers: a request that has all of them is refused.
///
/// There are several only as long as all crashes had all of them. A request that has some of them is
/// sent, and its outcome tells them apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    pub features: BTreeSet<Fingerprint>,
}

impl Rule {
    /// Returns whether a request with these features is refused.
    pub fn matches(&self, features: &[Feature]) -> bool {
        let has = |wanted: &Fingerprint| features.iter().any(|f| f.fingerprint == *wanted);
        self.features.iter().all(has)
    }
}

/// Chooses the rules that explain the crashes.
///
/// Parts come before whole requests, since many requests share a part, and deeper parts before those
/// that come first in a prompt, which other requests share as well. What an earlier rule explains
/// does not count for a later one: of the requests that ran beside the cause of a crash, all
/// features were blamed.
pub fn choose(mut candidates: Vec<Candidate>) -> Vec<Rule> {
    candidates.retain(|c| c.crashes.len() >= CRASH_LIMIT);
    candidates.sort_by_key(|c| {
        let is_part = !c.feature.is_whole();
        std::cmp::Reverse((is_part, c.feature.depth, c.crashes.len(), c.feature.fingerprint))
    });
    let mut explained = BTreeSet::new();
    let mut rules = Vec::new();
    for candidate in &candidates {
        if candidate.crashes.difference(&explained).count() < CRASH_LIMIT {
            continue;
        }
        let has_same = |c: &&Candidate| c.crashes == candidate.crashes;
        let features = candidates.iter().filter(has_same).map(|c| c.feature.fingerprint).collect();
        rules.push(Rule { features });
        explained.extend(candidate.crashes.iter().copied());
    }
    rules
}
