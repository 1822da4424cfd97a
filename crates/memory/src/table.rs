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

/// Who owns what on one engine.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    claims_until: Moment,
    renewed: BTreeMap<Daemon, Moment>,
    reservations: BTreeMap<reservation::Id, Reservation>,
    entries: BTreeMap<Item, Entry>,
}

impl Table {
    /// Makes the empty table of a runner process that starts at `now`.
    pub fn new(limits: Limits, now: Moment) -> Self {
        Self {
            limits,
            claims_until: now + limits.claim_grace,
            renewed: BTreeMap::new(),
            reservations: BTreeMap::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Returns the engine's memory.
    pub const fn capacity(&self) -> Tokens {
        self.limits.capacity
    }

    /// Returns the tokens that are promised, reserved or not yet confirmed to be free.
    pub fn promised(&self) -> Tokens {
        let reserved = self.reservations.values().map(|reservation| reservation.tokens);
        let covered = |entry: &&Entry| matches!(entry.owner(), Some(Owner::Reservation(_)));
        let entries = self.entries.values().filter(|entry| !covered(entry));
        let entries = entries.map(|entry| entry.tokens);
        reserved.chain(entries).fold(Tokens::ZERO, Tokens::saturating_add)
    }

    /// Returns every item that has an owner.
    pub fn owned(&self) -> BTreeSet<Item> {
        let owned = self.entries.iter().filter(|(_, entry)| entry.owner().is_some());
        owned.map(|(item, _)| item.clone()).collect()
    }

    /// Tells whether an entry daemon is known and has not lapsed.
    pub fn knows(&self, daemon: &Daemon) -> bool {
        self.renewed.contains_key(daemon)
    }

    /// Notes a sign of life of an entry daemon.
    pub fn renew(&mut self, daemon: &Daemon, now: Moment) {
        self.renewed.insert(daemon.clone(), now);
    }

    /// Sets memory aside for an entry daemon, wholly or not at all.
    ///
    /// A repeat with the same id moves the expiry.
    ///
    /// # Errors
    ///
    /// Fails when there is no room, or when the id is another daemon's.
    pub fn reserve(
        &mut self,
        id: reservation::Id,
        daemon: &Daemon,
        tokens: Tokens,
        ttl: Duration,
        now: Moment,
    ) -> Result<(), Refusal> {
        let expires = now + ttl;
        if let Some(present) = self.reservations.get_mut(&id) {
            if present.daemon != *daemon || present.tokens != tokens {
                return Err(Refusal::Taken);
            }
            present.expires = expires;
        } else {
            self.check_room(tokens)?;
            let reservation = Reservation { daemon: daemon.clone(), tokens, expires };
            self.reservations.insert(id, reservation);
        }
        self.renew(daemon, now);
        Ok(())
    }

    /// Gives a reservation back with everything under it; an unknown one is no error.
    pub fn release(&mut self, id: reservation::Id, now: Moment) {
        self.reservations.remove(&id);
        for entry in self.entries.values_mut() {
            if entry.owner() == Some(&Owner::Reservation(id)) {
                entry.release(now);
            }
        }
    }

    /// Admits a stream before it is started on the engine.
    ///
    /// `tokens` is the most that it can come to hold. A `prefill` becomes a handle at its end.
    ///
    /// # Errors
    ///
    /// Fails when there is no room or the name is in use.
    pub fn open(
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
                self.renew(&daemon.clone(), now);
            }
            Owner::Reservation(id) => self.check_covered(*id, tokens)?,
        }
        self.entries.insert(item, Entry::held(owner, tokens, prefill, now));
        Ok(())
    }

    /// Replaces a prefill that ended by the handle that it made.
    ///
    /// # Errors
    ///
    /// Fails when the prefill lost its owner meanwhile; the handle is then freed.
    pub fn convert(
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

    /// Gives an item to an entry daemon that continues it, with the reservation that covers it.
    ///
    /// # Errors
    ///
    /// Fails when the item is unknown or is being released.
    pub fn claim(&mut self, item: &Item, daemon: &Daemon, now: Moment) -> Result<(), Refusal> {
        let entry = self.entries.get_mut(item).ok_or(Refusal::UnknownItem)?;
        if matches!(entry.phase, Phase::Releasing { .. }) {
            return Err(Refusal::UnknownItem);
        }
        if let Some(Owner::Reservation(id)) = entry.owner()
            && let Some(reservation) = self.reservations.get_mut(id)
        {
            reservation.daemon = daemon.clone();
            self.renew(daemon, now);
            return Ok(());
        }
        let prefill = entry.is_prefill();
        *entry = Entry::held(Owner::Daemon(daemon.clone()), entry.tokens, prefill, now);
        self.renew(daemon, now);
        Ok(())
    }

    /// Has an item freed because its owner no longer needs it.
    pub fn close(&mut self, item: &Item, now: Moment) {
        if let Some(entry) = self.entries.get_mut(item) {
            entry.release(now);
        }
    }

    /// Notes that the engine confirmed an action.
    pub fn gone(&mut self, item: &Item) {
        let released = self.entries.get(item).map(|entry| &entry.phase);
        if matches!(released, Some(Phase::Releasing { .. })) {
            self.entries.remove(item);
        }
    }

    /// Notes that the engine does not hold an item, whatever the table knew of it.
    pub fn forget(&mut self, item: &Item) {
        self.entries.remove(item);
    }

    /// Notes a sign of life for the entry daemon that owns an item.
    pub fn renew_owner(&mut self, item: &Item, now: Moment) {
        let owner = self.entries.get(item).and_then(Entry::owner);
        if let Some(Owner::Daemon(daemon)) = owner.cloned() {
            self.renew(&daemon, now);
        }
    }

    /// Notes that the engine started again, empty; returns the items that had an owner.
    pub fn engine_restarted(&mut self) -> BTreeSet<Item> {
        let lost = self.owned();
        self.entries.clear();
        lost
    }

    /// Compares the table with what the engine holds.
    pub fn observe(&mut self, observation: &Observation, now: Moment) {
        self.entries.retain(|item, entry| {
            observation.items.contains_key(item) || !entry.ended_before(item, observation.asked)
        });
        let open: BTreeSet<Item> = self.prefills();
        for (item, tokens) in &observation.items {
            if !self.entries.contains_key(item) {
                let makers =
                    if matches!(item, Item::Handle(_)) { open.clone() } else { BTreeSet::new() };
                let phase = Phase::Unclaimed { until: self.claims_until.max(now), makers };
                self.entries.insert(item.clone(), Entry { tokens: *tokens, phase });
            }
        }
    }

    /// Releases what lost its owner and returns the actions that are due.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        self.lapse_daemons(now);
        self.expire_reservations(now);
        self.release_unclaimed(now);
        self.due_actions(now)
    }

    fn lapse_daemons(&mut self, now: Moment) {
        let lapse = self.limits.owner_lapse;
        self.renewed.retain(|_, renewed| now.since(*renewed) < lapse);
        let renewed = &self.renewed;
        for entry in self.entries.values_mut() {
            if matches!(entry.owner(), Some(Owner::Daemon(d)) if !renewed.contains_key(d)) {
                entry.release(now);
            }
        }
    }

    fn expire_reservations(&mut self, now: Moment) {
        let over = |r: &Reservation| r.expires <= now || !self.renewed.contains_key(&r.daemon);
        let expired = self.reservations.iter().filter(|(_, r)| over(r)).map(|(id, _)| *id);
        for id in expired.collect::<Vec<_>>() {
            self.release(id, now);
        }
    }

    fn release_unclaimed(&mut self, now: Moment) {
        let open = self.prefills();
        for entry in self.entries.values_mut() {
            let Phase::Unclaimed { until, makers } = &mut entry.phase else { continue };
            makers.retain(|maker| open.contains(maker));
            if *until <= now && makers.is_empty() {
                entry.release(now);
            }
        }
    }

    fn due_actions(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        for (item, entry) in &mut self.entries {
            if let Phase::Releasing { next_try, .. } = &mut entry.phase
                && *next_try <= now
            {
                *next_try = now + self.limits.retry;
                actions.push(item.release());
            }
        }
        actions
    }

    fn prefills(&self) -> BTreeSet<Item> {
        let open = self.entries.iter().filter(|(_, entry)| entry.is_prefill());
        open.map(|(item, _)| item.clone()).collect()
    }

    fn check_room(&self, tokens: Tokens) -> Result<(), Refusal> {
        if self.promised().saturating_add(tokens) > self.limits.capacity {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    fn check_covered(&self, id: reservation::Id, tokens: Tokens) -> Result<(), Refusal> {
        let reservation = self.reservations.get(&id).ok_or(Refusal::UnknownReservation)?;
        let under = |entry: &&Entry| entry.owner() == Some(&Owner::Reservation(id));
        let under = self.entries.values().filter(under).map(|entry| entry.tokens);
        let under = under.fold(tokens, Tokens::saturating_add);
        if under > reservation.tokens { Err(Refusal::Full) } else { Ok(()) }
    }
}

impl Entry {
    /// Tells whether an item that the engine does not hold has ended.
    fn ended_before(&self, item: &Item, asked: Moment) -> bool {
        match (&self.phase, item) {
            // A stream may not have reached the engine yet; its job sees its end.
            (Phase::Held { .. }, Item::Stream(_)) => false,
            (Phase::Held { since, .. }, Item::Handle(_)) => *since < asked,
            (Phase::Unclaimed { .. }, _) => true,
            (Phase::Releasing { since, .. }, _) => *since < asked,
        }
    }
}
