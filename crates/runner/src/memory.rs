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

/// The memory of the engine and its owners; clones share one table.
#[derive(Debug, Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    table: Mutex<Table>,
}

/// Engine memory allocated to one request.
///
/// Dropping it releases the item, which is then freed on the engine. The tokens stay committed
/// until the engine confirms that.
#[derive(Debug)]
pub struct Allocation {
    item: Option<(Arc<Shared>, Item)>,
}

impl Pool {
    /// Creates the pool of an engine with `capacity` tokens of memory.
    pub fn new(capacity: Tokens, clock: Clock) -> Self {
        let table = Mutex::new(Table::new(Limits::new(capacity), clock.now()));
        Self { shared: Arc::new(Shared { clock, table }) }
    }

    /// Allocates memory for an item.
    ///
    /// # Errors
    ///
    /// Fails when the free memory is too small or the item exists.
    pub fn allocate(
        &self,
        item: Item,
        owner: Owner,
        tokens: Tokens,
    ) -> Result<Allocation, Refusal> {
        let now = self.shared.clock.now();
        self.table().admit(item.clone(), owner, tokens, false, now)?;
        Ok(Allocation { item: Some((Arc::clone(&self.shared), item)) })
    }

    /// Returns the tokens committed to all items and reservations.
    pub fn committed(&self) -> Tokens {
        self.table().committed()
    }

    /// Returns the engine's memory in tokens.
    pub fn capacity(&self) -> Tokens {
        self.table().capacity()
    }

    /// Returns the present moment of the pool's clock.
    pub fn now(&self) -> Moment {
        self.shared.clock.now()
    }

    /// Locks the table of items and owners.
    pub fn table(&self) -> MutexGuard<'_, Table> {
        self.shared.lock()
    }
}

impl Allocation {
    /// Creates the allocation of a backend server without KV memory.
    pub const fn empty() -> Self {
        Self { item: None }
    }

    /// Ends the allocation of an item that the engine does not hold; its tokens are free at once.
    pub fn mark_freed(mut self) {
        if let Some((shared, item)) = self.item.take() {
            shared.lock().remove(&item);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        if let Some((shared, item)) = self.item.take() {
            let now = shared.clock.now();
            shared.lock().release_item(&item, now);
        }
    }
}
