//! The right to start a request, with its life cycle in the type.

use std::marker::PhantomData;

use kumquattiller_base::attempt;
use kumquattiller_base::request::Key;
use kumquattiller_base::time::Moment;

use crate::Attempt;
use crate::Event;
use crate::Now;
use crate::Outcome;
use crate::Timestamp;

/// State of a claim that has started nothing.
#[derive(Debug)]
pub enum Granted {}

/// State of a claim whose one start was used.
#[derive(Debug)]
pub enum Started {}

/// The claim's start window is over; it was given back unused.
#[derive(Debug)]
pub struct Lapsed(pub Claim<Granted>);

/// The right to start a request once.
///
/// Only the [`Writer`](crate::Writer) makes one, after the store took the record, and it cannot be
/// copied.
#[derive(Debug)]
pub struct Claim<S> {
    key: Key,
    attempt: Attempt,
    start_by: Moment,
    until: Timestamp,
    state: PhantomData<S>,
}

impl<S> Claim<S> {
    /// Returns the claimed key.
    pub const fn key(&self) -> &Key {
        &self.key
    }

    /// Returns the claiming attempt.
    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the end of the start window.
    pub const fn start_by(&self) -> Moment {
        self.start_by
    }

    fn into_state<T>(self) -> Claim<T> {
        let Self { key, attempt, start_by, until, .. } = self;
        Claim { key, attempt, start_by, until, state: PhantomData }
    }
}

impl Claim<Granted> {
    pub(crate) const fn new(
        key: Key,
        attempt: Attempt,
        start_by: Moment,
        until: Timestamp,
    ) -> Self {
        Self { key, attempt, start_by, until, state: PhantomData }
    }

    /// Uses up the right to start.
    ///
    /// The caller reads its clocks right before, so that a process that was paused notices. Both
    /// clocks count, for the monotonic one may stand still while a VM is suspended.
    ///
    /// # Errors
    ///
    /// Returns the claim unused when its start window is over.
    pub fn start(self, now: Now) -> Result<Claim<Started>, Lapsed> {
        if now.moment > self.start_by || now.wall > self.until {
            return Err(Lapsed(self));
        }
        Ok(self.into_state())
    }

    /// Gives the claim up unused, so that a repeat of the key may run.
    pub fn release(self) -> Event {
        Event::Release { key: self.key, attempt: self.attempt }
    }
}

impl Claim<Started> {
    /// Takes the right to start back after a runner refused before starting anything.
    pub fn refused(self, attempt: &attempt::Attempt<attempt::Refused>) -> Claim<Granted> {
        let _ = attempt;
        self.into_state()
    }

    /// Ends the claim with the outcome to record.
    pub fn finish(self, outcome: Outcome) -> Event {
        Event::Finish { key: self.key, attempt: self.attempt, outcome }
    }
}
