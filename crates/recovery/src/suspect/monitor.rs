use std::collections::BTreeMap;

use kumquattiller_base::fingerprint::Fingerprint;

use crate::suspect::Death;
use crate::suspect::Involved;
use crate::suspect::death;

/// Tracks the attempts that run on the engine of a runner process.
#[derive(Debug)]
pub struct Monitor<K> {
    runner: String,
    incarnation: u64,
    death_count: u64,
    running: BTreeMap<K, Attempt>,
}

/// A running attempt.
#[derive(Debug)]
struct Attempt {
    fingerprint: Fingerprint,
    suspect: bool,
    /// Death that another attempt already reported for this one.
    reported_death: Option<death::Id>,
}

impl Attempt {
    const fn involved(&self) -> Involved {
        Involved { fingerprint: self.fingerprint, suspect: self.suspect }
    }
}

/// State of the engine when an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The engine kept running.
    EngineSurvived,
    /// The engine died during the attempt.
    EngineDied,
}

impl<K: Ord + Copy> Monitor<K> {
    /// Creates the monitor for one incarnation of a runner process.
    pub const fn new(runner: String, incarnation: u64) -> Self {
        Self { runner, incarnation, death_count: 0, running: BTreeMap::new() }
    }

    /// Registers an attempt; returns false for a suspect while another suspect is running.
    pub fn start(&mut self, attempt: K, fingerprint: Fingerprint, suspect: bool) -> bool {
        let suspect_running = self.running.values().any(|attempt| attempt.suspect);
        if suspect && suspect_running {
            return false;
        }
        self.running.insert(attempt, Attempt { fingerprint, suspect, reported_death: None });
        true
    }

    /// Removes an ended attempt; returns the death that ended it and whether that death is new.
    ///
    /// The first attempt that ends by a death reports it for all attempts still running. Those
    /// later return the same death as not new.
    pub fn finish(&mut self, attempt: K, end: End) -> Option<(Death, bool)> {
        let ended = self.running.remove(&attempt)?;
        if end == End::EngineSurvived {
            return None;
        }
        if let Some(id) = ended.reported_death {
            return Some((Death { id, running: vec![ended.involved()] }, false));
        }
        self.death_count += 1;
        let id = death::Id::of(&self.runner, self.incarnation, self.death_count);
        let mut running = vec![ended.involved()];
        for other in self.running.values_mut() {
            other.reported_death = Some(id);
            running.push(other.involved());
        }
        Some((Death { id, running }, true))
    }
}
