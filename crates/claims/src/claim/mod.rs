//! The right to start a request, with its state in the type.

use std::marker::PhantomData;

use kumquattiller_base::attempt;
use kumquattiller_base::request::Key;
use kumquattiller_base::time::Moment;

use crate::Attempt;
use crate::Event;
use crate::Now;
use crate::Outcome;
use crate::Timestamp;

/// State of a claim whose request has not been started.
#[derive(Debug)]
pub enum Granted {}

/// State of a claim whose request has been started.
#[derive(Debug)]
pub enum Started {}

/// The error of a start that came too late; holds the claim, still unused.
#[derive(Debug)]
pub struct Lapsed(pub Claim<Granted>);

/// The right to start a request once.
///
/// Only the [`Writer`](crate::Writer) creates claims, after the store has confirmed the record. A
/// claim cannot be copied.
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

    /// Returns the latest time at which the request may start.
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

    /// Consumes the right to start the request.
    ///
    /// The caller must read `now` immediately before the call, so that a pause of the process is
    /// detected. Both clocks are checked, because the monotonic clock may stop while a VM is
    /// suspended.
    ///
    /// # Errors
    ///
    /// Returns the unused claim if it is too late to start the request.
    pub fn start(self, now: Now) -> Result<Claim<Started>, Lapsed> {
        if now.moment > self.start_by || now.wall > self.until {
            return Err(Lapsed(self));
        }
        Ok(self.into_state())
    }

    /// Releases the unused claim, so that a repeat of the key may run.
    pub fn release(self) -> Event {
        Event::Release { key: self.key, attempt: self.attempt }
    }
}

impl Claim<Started> {
    /// Restores the right to start the request after a runner refused `attempt` before starting it.
    pub fn refused(self, attempt: &attempt::Attempt<attempt::Refused>) -> Claim<Granted> {
        let _ = attempt;
        self.into_state()
    }

    /// Ends the claim; the returned event records the outcome.
    pub fn finish(self, outcome: Outcome) -> Event {
        Event::Finish { key: self.key, attempt: self.attempt, outcome }
    }
}
