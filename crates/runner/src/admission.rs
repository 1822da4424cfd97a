//! Admission of requests against the engine's memory.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;
use kumquattiller_link::Clock;
use kumquattiller_memory::Item;
use kumquattiller_memory::Limits;
use kumquattiller_memory::Owner;
use kumquattiller_memory::Refusal;
use kumquattiller_memory::Table;

/// The owners of the engine's memory; clones share one table.
#[derive(Debug, Clone)]
pub struct Account {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    table: Mutex<Table>,
}

/// Memory promised to one request.
///
/// When it is dropped, the item is freed on the engine and counts until the engine confirms that.
#[derive(Debug)]
pub struct Promise {
    held: Option<(Arc<Shared>, Item)>,
}

impl Account {
    /// Opens the account of an engine.
    pub fn new(capacity: Tokens, clock: Clock) -> Self {
        let table = Mutex::new(Table::new(Limits::new(capacity), clock.now()));
        Self { shared: Arc::new(Shared { clock, table }) }
    }

    /// Promises memory for an item.
    ///
    /// # Errors
    ///
    /// Fails when there is no room or the item exists.
    pub fn promise(&self, item: Item, owner: Owner, tokens: Tokens) -> Result<Promise, Refusal> {
        let now = self.shared.clock.now();
        self.table().admit(item.clone(), owner, tokens, false, now)?;
        Ok(Promise { held: Some((Arc::clone(&self.shared), item)) })
    }

    /// Returns the tokens promised in all.
    pub fn promised(&self) -> Tokens {
        self.table().committed()
    }

    /// Returns the engine's memory.
    pub fn capacity(&self) -> Tokens {
        self.table().capacity()
    }

    /// Returns the present moment of the account's clock.
    pub fn now(&self) -> Moment {
        self.shared.clock.now()
    }

    /// Locks the table.
    pub fn table(&self) -> MutexGuard<'_, Table> {
        self.shared.lock()
    }
}

impl Promise {
    /// Makes the promise of a backend server without KV memory.
    pub const fn empty() -> Self {
        Self { held: None }
    }

    /// Ends the promise of an item that the engine does not hold.
    pub fn settle(mut self) {
        if let Some((shared, item)) = self.held.take() {
            shared.lock().remove(&item);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Promise {
    fn drop(&mut self) {
        if let Some((shared, item)) = self.held.take() {
            let now = shared.clock.now();
            shared.lock().release_item(&item, now);
        }
    }
}
