use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kumquattiller_base::size::Tokens;
use kumquattiller_base::time::Moment;

use crate::Action;
use crate::Daemon;
use crate::Item;
use crate::Limits;
use crate::Observation;
use crate::Owner;
use crate::Refusal;
use crate::entry::Entry;
use crate::entry::Phase;
use crate::reservation;
use crate::reservation::Reservation;

/// The items and reservations on one engine, with their owners.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    claims_until: Moment,
    renewed: BTreeMap<Daemon, Moment>,
    reservations: BTreeMap<reservation::Id, Reservation>,
    entries: BTreeMap<Item, Entry>,
}

impl Table {
    /// Creates the empty table of a runner process that starts at `now`.
    pub fn new(limits: Limits, now: Moment) -> Self {
        Self {
            limits,
            claims_until: now + limits.claim_grace,
            renewed: BTreeMap::new(),
            reservations: BTreeMap::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Returns the KV memory of the engine, in tokens.
    pub const fn capacity(&self) -> Tokens {
        self.limits.capacity
    }

    /// Returns the tokens that are reserved, held by items outside reservations, or not yet confirmed
    /// to be free.
    pub fn committed(&self) -> Tokens {
        let reserved = self.reservations.values().map(|reservation| reservation.tokens);
        let is_covered = |entry: &&Entry| matches!(entry.owner(), Some(Owner::Reservation(_)));
        let entries = self.entries.values().filter(|entry| !is_covered(entry));
        let entries = entries.map(|entry| entry.tokens);
        reserved.chain(entries).fold(Tokens::ZERO, Tokens::saturating_add)
    }

    /// Returns every item that has an owner.
    pub fn owned_items(&self) -> BTreeSet<Item> {
        let owned = self.entries.iter().filter(|(_, entry)| entry.owner().is_some());
        owned.map(|(item, _)| item.clone()).collect()
    }

    /// Returns whether an entry daemon has renewed its ownership within the owner timeout.
    ///
    /// [`Self::tick`] applies the timeout.
    pub fn is_live(&self, daemon: &Daemon) -> bool {
        self.renewed.contains_key(daemon)
    }

    /// Renews the ownership of an entry daemon that has shown that it is alive.
    pub fn renew_daemon(&mut self, daemon: &Daemon, now: Moment) {
        self.renewed.insert(daemon.clone(), now);
    }

    /// Reserves memory for an entry daemon, either all of it or none.
    ///
    /// A repeat with the same id sets a new expiry.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room, or if the id exists with another daemon or size.
    pub fn reserve(
        &mut self,
        id: reservation::Id,
        daemon: &Daemon,
        tokens: Tokens,
        ttl: Duration,
        now: Moment,
    ) -> Result<(), Refusal> {
        let expires = now + ttl;
        if let Some(existing) = self.reservations.get_mut(&id) {
            if existing.daemon != *daemon || existing.tokens != tokens {
                return Err(Refusal::Taken);
            }
            existing.expires = expires;
        } else {
            self.check_room(tokens)?;
            let reservation = Reservation { daemon: daemon.clone(), tokens, expires };
            self.reservations.insert(id, reservation);
        }
        self.renew_daemon(daemon, now);
        Ok(())
    }

    /// Releases a reservation and marks the items that it covers to be freed.
    ///
    /// An unknown reservation is ignored.
    pub fn release_reservation(&mut self, id: reservation::Id, now: Moment) {
        self.reservations.remove(&id);
        for entry in self.entries.values_mut() {
            if entry.owner() == Some(&Owner::Reservation(id)) {
                entry.mark_releasing(now);
            }
        }
    }

    /// Admits a stream before it is started on the engine.
    ///
    /// `tokens` is the maximum that the stream can hold. `prefill` tells that the stream only computes
    /// a prompt, so that it becomes a handle when it ends.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room, the item exists, or the reservation is unknown.
    pub fn admit(
        &mut self,
        item: Item,
        owner: Owner,
        tokens: Tokens,
        prefill: bool,
        now: Moment,
    ) -> Result<(), Refusal> {
        if self.entries.contains_key(&item) {
            return Err(Refusal::Taken);
        }
        match &owner {
            Owner::Daemon(daemon) => {
                self.check_room(tokens)?;
                self.renew_daemon(&daemon.clone(), now);
            }
            Owner::Reservation(id) => self.check_covered(*id, tokens)?,
        }
        self.entries.insert(item, Entry::held(owner, tokens, prefill, now));
        Ok(())
    }

    /// Replaces a prefill that ended with the handle that it created.
    ///
    /// # Errors
    ///
    /// Returns an error if the prefill has lost its owner; the handle is then freed.
    pub fn convert_prefill(
        &mut self,
        prefill: &Item,
        handle: Item,
        tokens: Tokens,
        now: Moment,
    ) -> Result<(), Refusal> {
        let owner = self.entries.get(prefill).and_then(Entry::owner).cloned();
        self.entries.remove(prefill);
        let Some(owner) = owner else {
            let phase = Phase::Releasing { since: now, next_try: now };
            self.entries.insert(handle, Entry { tokens, phase });
            return Err(Refusal::UnknownItem);
        };
        self.entries.insert(handle, Entry::held(owner, tokens, false, now));
        Ok(())
    }

    /// Makes an entry daemon the owner of an item that it continues.
    ///
    /// If a reservation covers the item, the daemon becomes the owner of the reservation instead.
    ///
    /// # Errors
    ///
    /// Returns an error if the item is unknown or is being released.
    pub fn claim(&mut self, item: &Item, daemon: &Daemon, now: Moment) -> Result<(), Refusal> {
        let entry = self.entries.get_mut(item).ok_or(Refusal::UnknownItem)?;
        if matches!(entry.phase, Phase::Releasing { .. }) {
            return Err(Refusal::UnknownItem);
        }
        if let Some(Owner::Reservation(id)) = entry.owner()
            && let Some(reservation) = self.reservations.get_mut(id)
        {
            reservation.daemon = daemon.clone();
            self.renew_daemon(daemon, now);
            return Ok(());
        }
        let prefill = entry.is_prefill();
        *entry = Entry::held(Owner::Daemon(daemon.clone()), entry.tokens, prefill, now);
        self.renew_daemon(daemon, now);
        Ok(())
    }

    /// Marks an item to be freed because its owner no longer needs it.
    pub fn release_item(&mut self, item: &Item, now: Moment) {
        if let Some(entry) = self.entries.get_mut(item) {
            entry.mark_releasing(now);
        }
    }

    /// Removes an item whose release the engine has confirmed.
    pub fn confirm_released(&mut self, item: &Item) {
        let released = self.entries.get(item).map(|entry| &entry.phase);
        if matches!(released, Some(Phase::Releasing { .. })) {
            self.entries.remove(item);
        }
    }

    /// Removes an item that the engine does not hold, whatever its state in the table.
    pub fn remove(&mut self, item: &Item) {
        self.entries.remove(item);
    }

    /// Renews the ownership of the entry daemon that owns an item.
    pub fn renew_owner(&mut self, item: &Item, now: Moment) {
        let owner = self.entries.get(item).and_then(Entry::owner);
        if let Some(Owner::Daemon(daemon)) = owner.cloned() {
            self.renew_daemon(&daemon, now);
        }
    }

    /// Clears all items after a restart of the engine; returns those that had an owner.
    pub fn engine_restarted(&mut self) -> BTreeSet<Item> {
        let lost = self.owned_items();
        self.entries.clear();
        lost
    }

    /// Updates the table with what the engine holds.
    ///
    /// Removes items that the engine no longer holds, except streams with an owner, and adds unknown
    /// items as unclaimed. An unknown handle is kept at least until the prefills that may have created
    /// it have ended.
    pub fn observe(&mut self, observation: &Observation, now: Moment) {
        self.entries.retain(|item, entry| {
            observation.items.contains_key(item) || !entry.is_gone(item, observation.asked)
        });
        let prefills: BTreeSet<Item> = self.prefills();
        for (item, tokens) in &observation.items {
            if !self.entries.contains_key(item) {
                let possible_prefills = if matches!(item, Item::Handle(_)) {
                    prefills.clone()
                } else {
                    BTreeSet::new()
                };
                let phase =
                    Phase::Unclaimed { until: self.claims_until.max(now), possible_prefills };
                self.entries.insert(item.clone(), Entry { tokens: *tokens, phase });
            }
        }
    }

    /// Marks items that lost their owner to be freed and returns the actions that are due.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        self.expire_daemons(now);
        self.expire_reservations(now);
        self.release_unclaimed(now);
        self.due_actions(now)
    }

    fn expire_daemons(&mut self, now: Moment) {
        let timeout = self.limits.owner_timeout;
        self.renewed.retain(|_, renewed| now.since(*renewed) < timeout);
        let renewed = &self.renewed;
        for entry in self.entries.values_mut() {
            if matches!(entry.owner(), Some(Owner::Daemon(d)) if !renewed.contains_key(d)) {
                entry.mark_releasing(now);
            }
        }
    }

    fn expire_reservations(&mut self, now: Moment) {
        let is_expired =
            |r: &Reservation| r.expires <= now || !self.renewed.contains_key(&r.daemon);
        let expired = self.reservations.iter().filter(|(_, r)| is_expired(r)).map(|(id, _)| *id);
        for id in expired.collect::<Vec<_>>() {
            self.release_reservation(id, now);
        }
    }

    fn release_unclaimed(&mut self, now: Moment) {
        let prefills = self.prefills();
        for entry in self.entries.values_mut() {
            let Phase::Unclaimed { until, possible_prefills } = &mut entry.phase else { continue };
            possible_prefills.retain(|prefill| prefills.contains(prefill));
            if *until <= now && possible_prefills.is_empty() {
                entry.mark_releasing(now);
            }
        }
    }

    fn due_actions(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        for (item, entry) in &mut self.entries {
            if let Phase::Releasing { next_try, .. } = &mut entry.phase
                && *next_try <= now
            {
                *next_try = now + self.limits.retry_interval;
                actions.push(item.release_action());
            }
        }
        actions
    }

    fn prefills(&self) -> BTreeSet<Item> {
        let prefills = self.entries.iter().filter(|(_, entry)| entry.is_prefill());
        prefills.map(|(item, _)| item.clone()).collect()
    }

    fn check_room(&self, tokens: Tokens) -> Result<(), Refusal> {
        if self.committed().saturating_add(tokens) > self.limits.capacity {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    fn check_covered(&self, id: reservation::Id, tokens: Tokens) -> Result<(), Refusal> {
        let reservation = self.reservations.get(&id).ok_or(Refusal::UnknownReservation)?;
        let is_covered = |entry: &&Entry| entry.owner() == Some(&Owner::Reservation(id));
        let covered = self.entries.values().filter(is_covered).map(|entry| entry.tokens);
        let covered = covered.fold(tokens, Tokens::saturating_add);
        if covered > reservation.tokens { Err(Refusal::Full) } else { Ok(()) }
    }
}

impl Entry {
    /// Returns whether the entry of an item can be removed if the engine did not list it at `asked`.
    fn is_gone(&self, item: &Item, asked: Moment) -> bool {
        match (&self.phase, item) {
            // The stream may not have reached the engine yet. The job that runs it reports its end.
            (Phase::Held { .. }, Item::Stream(_)) => false,
            (Phase::Held { since, .. }, Item::Handle(_)) => *since < asked,
            (Phase::Unclaimed { .. }, _) => true,
            (Phase::Releasing { since, .. }, _) => *since < asked,
        }
    }
}
