use std::collections::BTreeMap;
use std::collections::HashMap;

use kumquattiller_base::runner;
use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::prefix::Index;

use crate::prefix::Copy;
use crate::prefix::Prefix;
use crate::prefix::Report;
use crate::prefix::cache::Cache;

/// Maximum number of prefixes in a report.
pub const MAX_REPORTS: usize = 16;
/// Largest part of a cache that one prefix may take. A larger one is not recorded, since it would
/// replace everything that other requests share.
const MAX_CACHE_FRACTION: f64 = 0.5;
/// Maximum number of prefixes whose use is counted.
const MAX_COUNTED: usize = 4_096;

/// A prefix that this daemon has used at a server.
#[derive(Debug, Clone, Copy)]
struct Use {
    prefix: Prefix,
    count: u32,
}

/// The prefixes that the servers of this daemon probably hold.
#[derive(Debug, Default)]
pub struct Table {
    index: Index,
    caches: HashMap<runner::Id, Cache>,
    /// Uses by this daemon since the last report, by server and hash.
    uses: BTreeMap<(runner::Id, u64), Use>,
}

impl Table {
    /// Records that a server computes a prompt with these prefixes. `capacity` is what its cache
    /// holds.
    pub fn record(
        &mut self,
        server: &runner::Id,
        prefixes: &[Prefix],
        capacity: Tokens,
        now: Moment,
    ) {
        for prefix in prefixes {
            if !self.store(server, *prefix, capacity, now) {
                break;
            }
            let key = (server.clone(), prefix.hash);
            if self.uses.len() < MAX_COUNTED || self.uses.contains_key(&key) {
                self.uses.entry(key).or_insert(Use { prefix: *prefix, count: 0 }).count += 1;
            }
        }
    }

    /// Stores a prefix; returns `false` if it is too large for the cache.
    fn store(&mut self, server: &runner::Id, prefix: Prefix, capacity: Tokens, at: Moment) -> bool {
        if prefix.tokens.get() as f64 > capacity.get() as f64 * MAX_CACHE_FRACTION {
            return false;
        }
        let evicted = self.caches.entry(server.clone()).or_default().record(prefix, capacity, at);
        self.index.record(server, &[prefix.hash], at);
        self.index.record_eviction(server, &evicted);
        true
    }

    /// Returns for each server the longest of the prefixes that it probably holds.
    pub fn copies(&self, prefixes: &[Prefix], now: Moment) -> Vec<Copy> {
        let mut copies: Vec<Copy> = Vec::new();
        for prefix in prefixes.iter().rev() {
            for holder in self.index.holders(prefix.hash) {
                if copies.iter().all(|copy| copy.server != holder.runner) {
                    let age = now.since(holder.used_at);
                    copies.push(Copy { server: holder.runner.clone(), tokens: prefix.tokens, age });
                }
            }
        }
        copies
    }

    /// Discards what a server is believed to hold, after a restart or a preemption.
    pub fn forget(&mut self, server: &runner::Id) {
        self.index.record_gap(server);
        self.caches.remove(server);
        self.uses.retain(|(user, _), _| user != server);
    }

    /// Removes beliefs that are too old, and those about servers that are not `known`.
    pub fn expire(&mut self, now: Moment, known: impl Fn(&runner::Id) -> bool) {
        for (server, cache) in &mut self.caches {
            let expired = cache.expire(now);
            self.index.record_eviction(server, &expired);
        }
        self.caches.retain(|server, cache| known(server) && !cache.is_empty());
        self.index.retain(&known);
    }

    /// Returns what the peers are told: of the prefixes used since the last report those used most
    /// often. `start_key` identifies the incarnation of a server.
    pub fn take_reports(
        &mut self,
        start_key: impl Fn(&runner::Id) -> Option<u64>,
        now: Moment,
    ) -> Vec<Report> {
        let uses = std::mem::take(&mut self.uses);
        let mut uses: Vec<((runner::Id, u64), Use)> = uses.into_iter().collect();
        uses.sort_by_key(|(_, u)| std::cmp::Reverse((u.count, u.prefix.tokens)));
        let describe = |((server, hash), u): ((runner::Id, u64), Use)| {
            let used_at = self.used_at(&server, hash)?;
            Some(Report {
                server: start_key(&server)?,
                hash,
                tokens: u.prefix.tokens,
                added: u.prefix.added,
                age: now.since(used_at),
            })
        };
        uses.into_iter().filter_map(describe).take(MAX_REPORTS).collect()
    }

    /// Applies the report of a peer. `resolve` finds a server by its start key, with the capacity of
    /// its cache.
    pub fn merge(
        &mut self,
        reports: &[Report],
        resolve: impl Fn(u64) -> Option<(runner::Id, Tokens)>,
        now: Moment,
    ) {
        for report in reports.iter().take(MAX_REPORTS) {
            let Some((server, capacity)) = resolve(report.server) else {
                continue;
            };
            let used_at = now - report.age;
            let known_at = self.used_at(&server, report.hash);
            if known_at.is_none_or(|known| known < used_at) {
                let Report { hash, tokens, added, .. } = *report;
                self.store(&server, Prefix { hash, tokens, added }, capacity, used_at);
            }
        }
    }

    fn used_at(&self, server: &runner::Id, hash: u64) -> Option<Moment> {
        self.index.holders(hash).find(|h| h.runner == *server).map(|h| h.used_at)
    }

    /// Returns the number of servers that are believed to hold prefixes.
    pub fn server_count(&self) -> usize {
        self.caches.len()
    }
}
