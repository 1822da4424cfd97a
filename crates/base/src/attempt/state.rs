use std::marker::PhantomData;

use crate::attempt::NotStarted;
use crate::attempt::Number;
use crate::request;

/// State of an attempt that no runner has been told of.
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
    /// No earlier attempt was lost.
    clean: bool,
    state: PhantomData<S>,
}

impl<S> Attempt<S> {
    /// Returns the request.
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
            clean: self.clean,
            state: PhantomData,
        }
    }
}

impl Attempt<Unsent> {
    /// Begins the first attempt of a request.
    pub const fn first(request: request::Id) -> Self {
        Self { request, number: Number::FIRST, clean: true, state: PhantomData }
    }

    /// Marks the attempt as sent; from here on it may have started.
    pub fn send(self) -> Attempt<Sent> {
        self.into_state()
    }

    /// Proves that nothing was started, unless an earlier attempt was lost.
    pub fn not_started(self) -> Option<NotStarted> {
        self.clean.then(NotStarted::new)
    }
}

impl Attempt<Sent> {
    /// Records that the runner refused the attempt before starting anything.
    pub fn refuse(self) -> Attempt<Refused> {
        self.into_state()
    }

    /// Begins the next attempt of an idempotent request after this one was lost.
    pub fn again(self) -> Attempt<Unsent> {
        Attempt {
            request: self.request,
            number: self.number.next(),
            clean: false,
            state: PhantomData,
        }
    }
}

impl Attempt<Refused> {
    /// Begins the next attempt.
    pub fn again(self) -> Attempt<Unsent> {
        let number = self.number.next();
        Attempt { request: self.request, number, clean: self.clean, state: PhantomData }
    }

    /// Proves that nothing was started, unless an earlier attempt was lost.
    pub fn not_started(self) -> Option<NotStarted> {
        self.clean.then(NotStarted::new)
    }
}
