use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_base::fingerprint::Fingerprint;
use kumquattiller_base::time::Moment;

use crate::suspect::Accused;
use crate::suspect::Id;

/// How long a case is remembered after its last death.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Most cases that are remembered; the one that would be forgotten first gives way.
const MAX_CASES: usize = 10_000;

/// What is known of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Case {
    /// Deaths of engines that were running it.
    pub deaths: BTreeSet<Id>,
    /// Those of them that convict it, for it ran as a suspect.
    pub convictions: BTreeSet<Id>,
    /// Deaths that it was acquitted of.
    pub acquitted: BTreeSet<Id>,
    /// When the case is forgotten.
    pub until: Moment,
}

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// It may run where no other suspect runs.
    Suspect,
    /// It is refused.
    Refused {
        /// How long.
        left: Duration,
    },
}

/// The cases that an entry daemon knows.
#[derive(Debug, Default)]
pub struct Registry {
    cases: BTreeMap<Fingerprint, Case>,
}

impl Case {
    /// Tells whether a death of which it was not acquitted makes it a suspect.
    pub fn is_suspect(&self) -> bool {
        self.deaths.difference(&self.acquitted).next().is_some()
    }

    /// Tells whether a death of which it was not acquitted convicts it.
    pub fn is_convicted(&self) -> bool {
        self.convictions.difference(&self.acquitted).next().is_some()
    }

    /// Takes in another report; returns whether it said anything new.
    fn merge(&mut self, other: &Self) -> bool {
        let before = self.sizes();
        self.deaths.extend(&other.deaths);
        self.convictions.extend(&other.convictions);
        self.acquitted.extend(&other.acquitted);
        self.until = self.until.max(other.until);
        before != self.sizes()
    }

    fn sizes(&self) -> [usize; 3] {
        [self.deaths.len(), self.convictions.len(), self.acquitted.len()]
    }
}

impl Registry {
    /// Records that an engine died while it ran a request; returns whether that is new.
    pub fn died(&mut self, accused: Accused, death: Id, now: Moment) -> bool {
        let deaths = BTreeSet::from([death]);
        let convictions = if accused.suspect { deaths.clone() } else { BTreeSet::new() };
        let until = now + RETENTION;
        let case = Case { deaths, convictions, acquitted: BTreeSet::new(), until };
        self.merge(accused.fingerprint, &case, now)
    }

    /// Acquits a request that ended with its whole answer; returns whether that is new.
    pub fn acquit(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(case) = self.cases.get_mut(&fingerprint) else {
            return false;
        };
        let before = case.acquitted.len();
        case.acquitted.extend(&case.deaths);
        before != case.acquitted.len()
    }

    /// Takes in a case from elsewhere; returns whether it said anything new.
    pub fn merge(&mut self, fingerprint: Fingerprint, case: &Case, now: Moment) -> bool {
        self.forget(now);
        if case.until <= now {
            return false;
        }
        let new = self.cases.entry(fingerprint).or_default().merge(case);
        if self.cases.len() > MAX_CASES {
            let oldest = self.cases.iter().min_by_key(|(_, case)| case.until).map(|(key, _)| *key);
            oldest.map(|key| self.cases.remove(&key));
        }
        new
    }

    /// Returns how a request stands.
    pub fn standing(&self, fingerprint: Fingerprint, now: Moment) -> Standing {
        match self.cases.get(&fingerprint) {
            Some(case) if case.until <= now => Standing::Clear,
            Some(case) if case.is_convicted() => Standing::Refused { left: case.until.since(now) },
            Some(case) if case.is_suspect() => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Returns the cases in the order of their fingerprints.
    pub fn cases(&self) -> impl Iterator<Item = (&Fingerprint, &Case)> {
        self.cases.iter()
    }

    fn forget(&mut self, now: Moment) {
        self.cases.retain(|_, case| case.until > now);
    }
}
