use std::collections::HashMap;
use std::collections::VecDeque;

use kumquattiller_base::request;
use kumquattiller_base::time::Moment;

use crate::explain::Limit;

/// The decisions about recent requests.
///
/// The oldest request leaves when there are too many, and each leaves when its time is over, so
/// that the memory is bounded by [`Limit`].
#[derive(Debug, Default)]
pub struct History {
    limit: Limit,
    entries: HashMap<request::Id, Entry>,
    order: VecDeque<request::Id>,
}

/// The decisions about one request.
#[derive(Debug)]
struct Entry {
    begin: Moment,
    lines: Vec<String>,
    dropped: usize,
}

impl History {
    /// Makes an empty history.
    pub fn new(limit: Limit) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Notes a decision about a request.
    pub fn note(&mut self, now: Moment, request: request::Id, decision: &str) {
        self.forget(now);
        if !self.entries.contains_key(&request) {
            self.make_room();
            self.order.push_back(request);
        }
        let limit = self.limit;
        let entry = self.entries.entry(request).or_insert_with(|| Entry::new(now));
        entry.push(now, decision, limit);
    }

    /// Returns the decisions about a request in their order; empty when it is not known.
    pub fn lines(&self, now: Moment, request: request::Id) -> Vec<String> {
        match self.entries.get(&request) {
            Some(entry) if now.since(entry.begin) <= self.limit.keep => entry.to_lines(),
            _ => Vec::new(),
        }
    }

    /// Returns the number of requests that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops requests whose time is over.
    fn forget(&mut self, now: Moment) {
        while let Some(oldest) = self.order.front() {
            let begin = self.entries.get(oldest).map(|e| e.begin);
            if begin.is_some_and(|begin| now.since(begin) <= self.limit.keep) {
                return;
            }
            self.drop_oldest();
        }
    }

    /// Drops the oldest requests until one more has room.
    fn make_room(&mut self) {
        while !self.order.is_empty() && self.order.len() >= self.limit.requests {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(request) = self.order.pop_front() {
            self.entries.remove(&request);
        }
    }
}

impl Entry {
    const fn new(begin: Moment) -> Self {
        Self { begin, lines: Vec::new(), dropped: 0 }
    }

    /// Adds a line with the time since the first one.
    fn push(&mut self, now: Moment, decision: &str, limit: Limit) {
        if self.lines.len() >= limit.lines {
            self.dropped += 1;
            return;
        }
        let seconds = now.since(self.begin).as_secs_f64();
        let mut line = format!("+{seconds:.3} s {decision}");
        let mut end = line.len().min(limit.line_bytes);
        while !line.is_char_boundary(end) {
            end -= 1;
        }
        line.truncate(end);
        self.lines.push(line);
    }

    fn to_lines(&self) -> Vec<String> {
        let mut lines = self.lines.clone();
        if self.dropped > 0 {
            lines.push(format!("{} more decisions are not kept", self.dropped));
        }
        lines
    }
}
