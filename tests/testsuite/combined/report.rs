use std::collections::BTreeMap;
use std::collections::BTreeSet;

use kumquattiller_support::caller::Answer;
use kumquattiller_support::fleet::Fleet;
use serde_json::json;

/// What the callers saw.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Whole streams that equal what the engine generates.
    pub whole: u64,
    /// Streams that ended as whole and differ.
    pub wrong: u64,
    /// Streams that ended with an error, by kind.
    pub failures: BTreeMap<String, u64>,
    /// Refusals, by kind.
    pub refusals: BTreeMap<String, u64>,
    /// Requests without an answer by their deadline from a daemon whose connection stood.
    pub silent: u64,
    /// Requests that a caller gave up on.
    pub given_up: u64,
    /// Keys with a good answer.
    pub posted: BTreeSet<String>,
    /// Keys whose outcome is unknown, with what was said.
    pub unknown: BTreeMap<String, String>,
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "whole {}, wrong {}, ", self.whole, self.wrong)?;
        write!(f, "posted {}, unknown {}, ", self.posted.len(), self.unknown.len())?;
        write!(f, "silent {}, given up {}, ", self.silent, self.given_up)?;
        write!(f, "failures {:?}, refusals {:?}", self.failures, self.refusals)
    }
}

impl Report {
    /// Notes the end of a stream that claims to be whole.
    pub const fn streamed(&mut self, equal: bool) {
        if equal {
            self.whole += 1;
        } else {
            self.wrong += 1;
        }
    }

    /// Notes a stream that ended with an error.
    pub fn failed(&mut self, kind: &str) {
        *self.failures.entry(kind.to_owned()).or_default() += 1;
    }

    /// Notes a refusal.
    pub fn refused(&mut self, answer: &Answer) {
        *self.refusals.entry(answer.kind().to_owned()).or_default() += 1;
    }

    /// Notes a posting that was answered.
    pub fn posted(&mut self, key: &str) {
        self.posted.insert(key.to_owned());
    }

    /// Notes a posting whose outcome nobody knows.
    pub fn unknown(&mut self, key: &str, ran: &str) {
        self.unknown.insert(key.to_owned(), ran.to_owned());
    }

    /// Checks what was seen against what the backend servers did.
    pub fn check(&self, fleet: &Fleet, seed: u64) {
        let executions = fleet.service().executions();
        for (posting, count) in &executions {
            assert_eq!(*count, 1, "seed {seed}: executions of {posting:?}");
        }
        for key in &self.posted {
            let body = json!({"posting": key}).to_string();
            let count = fleet.service().executions_of(&body);
            assert_eq!(count, 1, "seed {seed}: executions of {key}, which was answered");
        }
        for posting in executions.keys() {
            let known =
                self.posted.contains(&posting.key) || self.unknown.contains_key(&posting.key);
            assert!(known, "seed {seed}: {} ran and its caller was never told", posting.key);
        }
        assert_eq!(self.silent, 0, "seed {seed}: requests without an answer in time");
        assert_eq!(self.wrong, 0, "seed {seed}: streams that ended as whole and differ");
        assert!(self.whole > 0, "seed {seed}: no stream was whole");
        assert!(!self.posted.is_empty(), "seed {seed}: no posting was answered");
    }
}
