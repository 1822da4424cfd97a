use std::collections::BTreeMap;

use kumquattiller_base::fingerprint::Fingerprint;

use crate::suspect::Accused;
use crate::suspect::Death;
use crate::suspect::Id;

/// What a runner process knows of the requests on its engine.
#[derive(Debug)]
pub struct Ward<K> {
    runner: String,
    incarnation: u64,
    deaths: u64,
    running: BTreeMap<K, Patient>,
}

/// One running attempt.
#[derive(Debug)]
struct Patient {
    fingerprint: Fingerprint,
    suspect: bool,
    blamed: Option<Id>,
}

impl Patient {
    const fn accused(&self) -> Accused {
        Accused { fingerprint: self.fingerprint, suspect: self.suspect }
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

impl<K: Ord + Copy> Ward<K> {
    /// Builds the ward of one start of a runner process.
    pub const fn new(runner: String, incarnation: u64) -> Self {
        Self { runner, incarnation, deaths: 0, running: BTreeMap::new() }
    }

    /// Takes an attempt in; returns false for a suspect while another one runs.
    pub fn enter(&mut self, attempt: K, fingerprint: Fingerprint, suspect: bool) -> bool {
        let taken = self.running.values().any(|patient| patient.suspect);
        if suspect && taken {
            return false;
        }
        self.running.insert(attempt, Patient { fingerprint, suspect, blamed: None });
        true
    }

    /// Lets an attempt out; returns the death that it ended with, and whether it is news.
    ///
    /// The first attempt that ends with its engine stands for all that run beside it.
    pub fn leave(&mut self, attempt: K, end: End) -> Option<(Death, bool)> {
        let patient = self.running.remove(&attempt)?;
        if end == End::EngineLives {
            return None;
        }
        if let Some(id) = patient.blamed {
            return Some((Death { id, running: vec![patient.accused()] }, false));
        }
        self.deaths += 1;
        let id = Id::of(&self.runner, self.incarnation, self.deaths);
        let mut running = vec![patient.accused()];
        for beside in self.running.values_mut() {
            beside.blamed = Some(id);
            running.push(beside.accused());
        }
        Some((Death { id, running }, true))
    }
}
