use std::collections::HashMap;
use std::collections::VecDeque;

use kumquattiller_base::request;
use kumquattiller_base::time::Moment;

use crate::explain::Limit;

/// Decisions about recent requests.
///
/// Requests are dropped, oldest first, when there are more than [`Limit::requests`] and when they
/// are older than [`Limit::retention`], so that the memory stays bounded.
#[derive(Debug, Default)]
pub struct History {
    limit: Limit,
    entries: HashMap<request::Id, Entry>,
    order: VecDeque<request::Id>,
}

/// Decisions about one request.
#[derive(Debug)]
struct Entry {
    first_at: Moment,
    lines: Vec<String>,
    dropped_lines: usize,
}

impl History {
    /// Creates an empty history.
    pub fn new(limit: Limit) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Records a decision about a request.
    pub fn record(&mut self, now: Moment, request: request::Id, decision: &str) {
        self.drop_expired(now);
        if !self.entries.contains_key(&request) {
            self.make_room();
            self.order.push_back(request);
        }
        let limit = self.limit;
        let entry = self.entries.entry(request).or_insert_with(|| Entry::new(now));
        entry.push(now, decision, limit);
    }

    /// Returns the decisions about a request, oldest first; empty when the request is unknown.
    pub fn lines(&self, now: Moment, request: request::Id) -> Vec<String> {
        match self.entries.get(&request) {
            Some(entry) if now.since(entry.first_at) <= self.limit.retention => entry.to_lines(),
            _ => Vec::new(),
        }
    }

    /// Returns the number of stored requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops requests older than the retention time.
    fn drop_expired(&mut self, now: Moment) {
        while let Some(oldest) = self.order.front() {
            let first_at = self.entries.get(oldest).map(|entry| entry.first_at);
            if first_at.is_some_and(|first_at| now.since(first_at) <= self.limit.retention) {
                return;
            }
            self.drop_oldest();
        }
    }

    /// Drops the oldest requests until there is room for one more.
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
    const fn new(first_at: Moment) -> Self {
        Self { first_at, lines: Vec::new(), dropped_lines: 0 }
    }

    /// Adds a line that starts with the time since the first decision.
    ///
    /// Counts the line instead once the limit of lines is reached, and cuts it to the limit of
    /// bytes.
    fn push(&mut self, now: Moment, decision: &str, limit: Limit) {
        if self.lines.len() >= limit.lines {
            self.dropped_lines += 1;
            return;
        }
        let seconds = now.since(self.first_at).as_secs_f64();
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
        if self.dropped_lines > 0 {
            lines.push(format!("{} more decisions are not kept", self.dropped_lines));
        }
        lines
    }
}
