use std::marker::PhantomData;

use crate::attempt::NotStarted;
use crate::attempt::Number;
use crate::request;

/// State of an attempt that was sent to no runner.
#[derive(Debug)]
pub struct Unsent;

/// State of an attempt that a runner may have started.
#[derive(Debug)]
pub struct Sent;

/// State of an attempt that the runner refused before starting anything.
#[derive(Debug)]
pub struct Refused;

/// One attempt to run a request.
#[derive(Debug)]
pub struct Attempt<S> {
    request: request::Id,
    number: Number,
    /// Whether every earlier attempt is known to have started nothing.
    never_lost: bool,
    state: PhantomData<S>,
}

impl<S> Attempt<S> {
    /// Returns the id of the request.
    pub const fn request(&self) -> request::Id {
        self.request
    }

    /// Returns the number of the attempt.
    pub const fn number(&self) -> Number {
        self.number
    }

    fn into_state<T>(self) -> Attempt<T> {
        Attempt {
            request: self.request,
            number: self.number,
            never_lost: self.never_lost,
            state: PhantomData,
        }
    }
}

impl Attempt<Unsent> {
    /// Creates the first attempt of a request.
    pub const fn first(request: request::Id) -> Self {
        Self { request, number: Number::FIRST, never_lost: true, state: PhantomData }
    }

    /// Returns whether an earlier attempt was lost, so that nobody knows whether it ran.
    pub const fn may_have_run(&self) -> bool {
        !self.never_lost
    }

    /// Marks the attempt as sent, so that a runner may have started it.
    pub fn send(self) -> Attempt<Sent> {
        self.into_state()
    }

    /// Returns the proof that nothing was started, or `None` when an earlier attempt was lost.
    pub fn not_started(self) -> Option<NotStarted> {
        self.never_lost.then(NotStarted::new)
    }
}

impl Attempt<Sent> {
    /// Records that the runner refused the attempt before starting anything.
    pub fn refuse(self) -> Attempt<Refused> {
        self.into_state()
    }

    /// Creates the next attempt of an idempotent request after this one was lost.
    pub fn next_attempt(self) -> Attempt<Unsent> {
        Attempt {
            request: self.request,
            number: self.number.next(),
            never_lost: false,
            state: PhantomData,
        }
    }
}

impl Attempt<Refused> {
    /// Creates the next attempt after a refusal.
    pub fn next_attempt(self) -> Attempt<Unsent> {
        let number = self.number.next();
        Attempt { request: self.request, number, never_lost: self.never_lost, state: PhantomData }
    }

    /// Returns the proof that nothing was started, or `None` when an earlier attempt was lost.
    pub fn not_started(self) -> Option<NotStarted> {
        self.never_lost.then(NotStarted::new)
    }
}
