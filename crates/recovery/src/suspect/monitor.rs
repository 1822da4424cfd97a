use std::collections::BTreeMap;

use kumquattiller_base::fingerprint::Fingerprint;

use crate::suspect::Death;
use crate::suspect::Id;
use crate::suspect::Involved;

/// What a runner process knows of the requests on its engine.
#[derive(Debug)]
pub struct Monitor<K> {
    runner: String,
    incarnation: u64,
    deaths: u64,
    running: BTreeMap<K, Run>,
}

/// One running attempt.
#[derive(Debug)]
struct Run {
    fingerprint: Fingerprint,
    suspect: bool,
    blamed: Option<Id>,
}

impl Run {
    const fn involved(&self) -> Involved {
        Involved { fingerprint: self.fingerprint, suspect: self.suspect }
    }
}

/// How an attempt ended, as far as it concerns its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The engine went on.
    EngineLives,
    /// The engine died meanwhile.
    EngineDied,
}

impl<K: Ord + Copy> Monitor<K> {
    /// Builds the monitor of one start of a runner process.
    pub const fn new(runner: String, incarnation: u64) -> Self {
        Self { runner, incarnation, deaths: 0, running: BTreeMap::new() }
    }

    /// Takes an attempt in; returns false for a suspect while another one runs.
    pub fn enter(&mut self, attempt: K, fingerprint: Fingerprint, suspect: bool) -> bool {
        let taken = self.running.values().any(|run| run.suspect);
        if suspect && taken {
            return false;
        }
        self.running.insert(attempt, Run { fingerprint, suspect, blamed: None });
        true
    }

    /// Lets an attempt out; returns the death that it ended with, and whether it is news.
    ///
    /// The first attempt that ends with its engine stands for all that run beside it.
    pub fn leave(&mut self, attempt: K, end: End) -> Option<(Death, bool)> {
        let run = self.running.remove(&attempt)?;
        if end == End::EngineLives {
            return None;
        }
        if let Some(id) = run.blamed {
            return Some((Death { id, running: vec![run.involved()] }, false));
        }
        self.deaths += 1;
        let id = Id::of(&self.runner, self.incarnation, self.deaths);
        let mut running = vec![run.involved()];
        for beside in self.running.values_mut() {
            beside.blamed = Some(id);
            running.push(beside.involved());
        }
        Some((Death { id, running }, true))
    }
}
