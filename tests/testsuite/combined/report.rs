use std::collections::BTreeMap;
use std::collections::BTreeSet;

use kumquattiller_support::caller::Answer;
use kumquattiller_support::fleet::Fleet;
use serde_json::json;

/// What the callers observed.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Streams that ended normally with the text that the engine generates.
    pub complete_streams: u64,
    /// Streams that ended normally with another text.
    pub wrong_streams: u64,
    /// Streams that ended with an error, by kind.
    pub failures: BTreeMap<String, u64>,
    /// Refusals, by kind.
    pub refusals: BTreeMap<String, u64>,
    /// Requests that got no answer in time although the connection to the daemon stayed open.
    pub unanswered: u64,
    /// Requests that a caller stopped retrying.
    pub abandoned: u64,
    /// Keys of non-idempotent calls that were answered with success.
    pub posted_keys: BTreeSet<String>,
    /// Keys of non-idempotent calls whose outcome is unknown, with the field `ran` of the answer.
    pub unknown_keys: BTreeMap<String, String>,
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "complete streams {}, wrong streams {}, ",
            self.complete_streams, self.wrong_streams
        )?;
        write!(
            f,
            "posted keys {}, unknown keys {}, ",
            self.posted_keys.len(),
            self.unknown_keys.len()
        )?;
        write!(f, "unanswered {}, abandoned {}, ", self.unanswered, self.abandoned)?;
        write!(f, "failures {:?}, refusals {:?}", self.failures, self.refusals)
    }
}

impl Report {
    /// Records a stream that ended normally; `equal` tells whether its text is the expected one.
    pub const fn record_stream(&mut self, equal: bool) {
        if equal {
            self.complete_streams += 1;
        } else {
            self.wrong_streams += 1;
        }
    }

    /// Records a stream that ended with an error.
    pub fn record_failure(&mut self, kind: &str) {
        *self.failures.entry(kind.to_owned()).or_default() += 1;
    }

    /// Records a refusal.
    pub fn record_refusal(&mut self, answer: &Answer) {
        *self.refusals.entry(answer.kind().to_owned()).or_default() += 1;
    }

    /// Records a non-idempotent call that was answered with success.
    pub fn record_posted(&mut self, key: &str) {
        self.posted_keys.insert(key.to_owned());
    }

    /// Records a non-idempotent call whose outcome is unknown.
    pub fn record_unknown(&mut self, key: &str, ran: &str) {
        self.unknown_keys.insert(key.to_owned(), ran.to_owned());
    }

    /// Checks what the callers observed against what the backend servers executed.
    pub fn check(&self, fleet: &Fleet, seed: u64) {
        let executions = fleet.service().executions();
        for (posting, count) in &executions {
            assert_eq!(*count, 1, "seed {seed}: executions of {posting:?}");
        }
        for key in &self.posted_keys {
            let body = json!({"posting": key}).to_string();
            let count = fleet.service().executions_of(&body);
            assert_eq!(count, 1, "seed {seed}: executions of {key}, which was answered");
        }
        for posting in executions.keys() {
            let known = self.posted_keys.contains(&posting.key)
                || self.unknown_keys.contains_key(&posting.key);
            assert!(
                known,
                "seed {seed}: {} ran but its caller got no answer that says so",
                posting.key
            );
        }
        assert_eq!(self.unanswered, 0, "seed {seed}: requests without an answer in time");
        assert_eq!(
            self.wrong_streams, 0,
            "seed {seed}: streams that ended normally with a wrong text"
        );
        assert!(
            self.complete_streams > 0,
            "seed {seed}: no stream ended normally with the expected text"
        );
        assert!(!self.posted_keys.is_empty(), "seed {seed}: no posting was answered");
    }
}
