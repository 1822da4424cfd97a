//! Admission of requests against the engine's memory.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use kumquattiller_base::size::Tokens;

/// Tokens promised to admitted requests.
#[derive(Debug, Clone)]
pub struct Account {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    capacity: Tokens,
    promised: Mutex<Tokens>,
}

/// Tokens promised to one request; they are free again when it is dropped.
#[derive(Debug)]
pub struct Promise {
    shared: Arc<Shared>,
    tokens: Tokens,
}

impl Account {
    /// Opens the account of an engine.
    pub fn new(capacity: Tokens) -> Self {
        Self { shared: Arc::new(Shared { capacity, promised: Mutex::new(Tokens::ZERO) }) }
    }

    /// Promises tokens, or returns `None` when there is no room.
    pub fn promise(&self, tokens: Tokens) -> Option<Promise> {
        let mut promised = self.shared.lock();
        let total = promised.saturating_add(tokens);
        if total > self.shared.capacity {
            return None;
        }
        *promised = total;
        Some(Promise { shared: Arc::clone(&self.shared), tokens })
    }

    /// Returns the tokens promised in all.
    pub fn promised(&self) -> Tokens {
        *self.shared.lock()
    }

    /// Returns the engine's memory.
    pub fn capacity(&self) -> Tokens {
        self.shared.capacity
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Tokens> {
        self.promised.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Promise {
    fn drop(&mut self) {
        let mut promised = self.shared.lock();
        *promised = promised.saturating_sub(self.tokens);
    }
}
