use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::time::Moment;

use crate::suspect::Crash;
use crate::suspect::Feature;
use crate::suspect::Report;
use crate::suspect::record::CRASH_LIMIT;
use crate::suspect::record::Record;
use crate::suspect::rule;
use crate::suspect::rule::Candidate;
use crate::suspect::rule::Rule;

/// Maximum number of records; the one that changed first is evicted.
const MAX_RECORDS: usize = 4_096;
/// Maximum number of features remembered as innocent; the memory starts anew when it is full.
const MAX_INNOCENT: usize = 16_384;
/// How long a feature counts as innocent after a request with it was writing.
const INNOCENCE: Duration = Duration::from_secs(60);
/// How long peers are told of a change.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// The features suspected of crashing servers.
#[derive(Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
    /// When a request with the feature was last writing.
    innocent: HashMap<Fingerprint, Moment>,
    /// Which requests are refused.
    rules: Vec<Rule>,
}

impl Suspects {
    /// Blames a request with these features for a crash. Returns the number of crashes for which
    /// the most suspicious of them is blamed.
    pub fn blame(&mut self, features: &[Feature], crash: Crash, now: Moment) -> usize {
        for feature in features {
            if !self.is_innocent(feature.fingerprint, now) {
                self.record(*feature, now).blame(crash, now, now);
            }
        }
        self.update_rules();
        features.iter().map(|f| self.open_count(f.fingerprint)).max().unwrap_or_default()
    }

    /// Exonerates the features of a request that is writing.
    pub fn exonerate(&mut self, features: &[Feature], now: Moment) {
        if self.innocent.len() >= MAX_INNOCENT {
            self.innocent.clear();
        }
        let parts = features.iter().filter(|feature| !feature.is_whole());
        self.innocent.extend(parts.map(|part| (part.fingerprint, now)));
        let mut has_changed = false;
        for feature in features {
            if let Some(record) = self.records.get_mut(&feature.fingerprint) {
                has_changed |= record.exonerate_all(now);
            }
        }
        if has_changed {
            self.update_rules();
        }
    }

    /// Merges what a peer reports.
    pub fn merge(&mut self, reports: &[Report], now: Moment) {
        let mut has_changed = false;
        for report in reports {
            let is_innocent = self.is_innocent(report.feature.fingerprint, now);
            let record = self.record(report.feature, now - report.age);
            has_changed |= record.merge(report, now);
            if is_innocent {
                has_changed |= record.exonerate_all(now);
            }
            if record.is_expired(now) {
                self.records.remove(&report.feature.fingerprint);
            }
        }
        if has_changed {
            self.update_rules();
        }
    }

    /// Returns whether a request with these features is refused.
    pub fn is_refused(&self, features: &[Feature]) -> bool {
        self.rules.iter().any(|rule| rule.matches(features))
    }

    /// Returns up to `limit` reports for the peers: first those of the rules, then the latest
    /// changes.
    pub fn reports(&self, limit: usize, now: Moment) -> Vec<Report> {
        let is_refused = |r: &Record| self.is_in_rule(r.feature.fingerprint);
        let is_due = |r: &&Record| is_refused(r) || now.since(r.changed_at) < REPORT_TIME;
        let mut due: Vec<&Record> = self.records.values().filter(is_due).collect();
        due.sort_by_key(|r| (Reverse(is_refused(r)), Reverse(r.changed_at)));
        due.into_iter().take(limit).map(|record| record.report(now)).collect()
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Moment) {
        self.records.retain(|_, record| !record.is_expired(now));
        self.innocent.retain(|_, at| now.since(*at) < INNOCENCE);
        self.update_rules();
    }

    /// Returns the record of a feature; if there is none, one is created for a crash that happened at
    /// `crashed_at`.
    fn record(&mut self, feature: Feature, crashed_at: Moment) -> &mut Record {
        if self.records.len() >= MAX_RECORDS {
            self.evict_oldest();
        }
        self.records.entry(feature.fingerprint).or_insert_with(|| Record::new(feature, crashed_at))
    }

    fn is_in_rule(&self, feature: Fingerprint) -> bool {
        self.rules.iter().any(|rule| rule.features.contains(&feature))
    }

    fn is_innocent(&self, feature: Fingerprint, now: Moment) -> bool {
        self.innocent.get(&feature).is_some_and(|at| now.since(*at) < INNOCENCE)
    }

    fn open_count(&self, feature: Fingerprint) -> usize {
        self.records.get(&feature).map_or(0, |record| record.open_crashes().count())
    }

    fn update_rules(&mut self) {
        let suspected = self.records.values().filter(|r| r.open_crashes().count() >= CRASH_LIMIT);
        let describe =
            |r: &Record| Candidate { feature: r.feature, crashes: r.open_crashes().collect() };
        self.rules = rule::choose(suspected.map(describe).collect());
    }

    fn evict_oldest(&mut self) {
        let oldest = self.records.values().min_by_key(|r| r.changed_at);
        if let Some(feature) = oldest.map(|r| r.feature.fingerprint) {
            self.records.remove(&feature);
        }
    }
}
