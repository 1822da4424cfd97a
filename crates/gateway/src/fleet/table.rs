use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_base::time::Moment;

use crate::fleet::Server;
use crate::fleet::Status;

/// Silence of the store after which registrations may have lapsed because their servers could not
/// renew them.
pub const MIN_OUTAGE: Duration = Duration::from_millis(1_500);
/// How long after reconnecting to the store a daemon still treats a vanished registration as
/// lapsed. Servers renew their registrations within two seconds of the end of an outage, which a
/// daemon may notice half a second late.
pub const RETURN_GRACE: Duration = Duration::from_millis(1_500);
/// How long a server may still get work after its registration vanished, within [`RETURN_GRACE`].
/// It is short because the server may in fact be draining.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1_200);

/// Longest time after which the registration of a restarted server is expected to arrive. Until
/// then, what the server says may be taken for what its previous incarnation said.
pub const MAX_REGISTRATION_DELAY: Duration = Duration::from_secs(10);
/// Time for which an incarnation that has left is remembered: the store may be restored from a copy
/// that still has its registration.
const LEFT_RETENTION: Duration = Duration::from_secs(60);

/// Effect of a registration event, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// The server is new or has restarted.
    Joined,
    /// The server is draining.
    #[strum(serialize = "leaving")]
    Draining,
    /// The registration was removed, and the server is no longer known.
    Gone,
    /// The registration lapsed during an outage of the store.
    Lapsed,
    /// No relevant change.
    Same,
}

#[derive(Debug)]
struct Member {
    server: Server,
    status: Status,
    start_key: u64,
}

/// The backend servers that a daemon knows.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<runner::Id, Member>,
    /// The servers by [`Server::start_key`], by which the reports of peers name them.
    by_start_key: HashMap<u64, runner::Id>,
    /// Incarnations, by [`Server::start_key`], that peers reported as draining before this daemon
    /// saw it.
    peer_draining: BTreeSet<u64>,
    /// Draining incarnations whose registrations are gone, by [`Server::start_key`], and since when.
    left: BTreeMap<u64, Moment>,
    store_regained_at: Option<Moment>,
}

impl Table {
    /// Records that the store responded after it had not confirmed the registrations for `silence`.
    /// A short silence is no outage: the answer of one request may have been lost.
    pub fn store_responded(&mut self, silence: Duration, now: Moment) {
        if silence >= MIN_OUTAGE {
            self.store_regained_at = Some(now);
        }
    }

    /// Adds or updates a registration. A server that drains does so until it restarts, whatever its
    /// registration says later: the store may have been restored from an older copy.
    pub fn put(&mut self, server: Server) -> Change {
        let start_key = server.start_key();
        let old = self.members.get(&server.id);
        let was_draining =
            old.is_some_and(|o| o.start_key == start_key && o.status == Status::Draining);
        let draining = server.draining
            || was_draining
            || self.peer_draining.contains(&start_key)
            || self.left.contains_key(&start_key);
        let status = if draining { Status::Draining } else { Status::Ready };
        let change = match old {
            Some(old) if old.server.started_ms != server.started_ms => Change::Joined,
            Some(old) if draining && old.status != Status::Draining => Change::Draining,
            Some(_) => Change::Same,
            None => Change::Joined,
        };
        if let Some(old) = old {
            self.by_start_key.remove(&old.start_key);
        }
        self.by_start_key.insert(start_key, server.id.clone());
        self.members.insert(server.id.clone(), Member { server, status, start_key });
        change
    }

    /// Removes a registration, or marks it as lapsed during and shortly after an outage.
    pub fn remove(&mut self, id: &runner::Id, now: Moment) -> Change {
        let until = self.lapse_end(now);
        let Some(member) = self.members.get_mut(id) else {
            return Change::Same;
        };
        if let (Some(until), Status::Ready) = (until, member.status) {
            member.status = Status::Lapsed(until);
            return Change::Lapsed;
        }
        self.forget(id, now);
        Change::Gone
    }

    /// Replaces all registrations by a complete list; returns the changes.
    pub fn replace(&mut self, servers: Vec<Server>, now: Moment) -> Vec<(runner::Id, Change)> {
        let listed: BTreeSet<runner::Id> = servers.iter().map(|s| s.id.clone()).collect();
        let gone: Vec<runner::Id> =
            self.members.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut changes = Vec::new();
        for id in gone {
            let change = self.remove(&id, now);
            changes.push((id, change));
        }
        for server in servers {
            let id = server.id.clone();
            let change = self.put(server);
            changes.push((id, change));
        }
        changes.retain(|(_, change)| *change != Change::Same);
        changes
    }

    /// Marks the servers with the given [`Server::start_key`]s, reported by a peer, as draining;
    /// returns the servers that were not marked before.
    pub fn mark_draining(&mut self, start_keys: &[u64]) -> Vec<runner::Id> {
        let mut new = Vec::new();
        for key in start_keys {
            let member = self.by_start_key.get(key).and_then(|id| self.members.get_mut(id));
            if let Some(member) = member.filter(|m| m.status != Status::Draining) {
                member.status = Status::Draining;
                self.peer_draining.insert(*key);
                new.push(member.server.id.clone());
            }
        }
        new
    }

    /// Returns the [`Server::start_key`]s of draining servers and of those that have left, to report
    /// to peers.
    pub fn draining_keys(&self) -> Vec<u64> {
        let is_draining = |m: &&Member| m.status == Status::Draining;
        let draining = self.members.values().filter(is_draining).map(|m| m.start_key);
        draining.chain(self.left.keys().copied()).collect()
    }

    /// Removes the lapsed registrations that were not renewed in time; returns their ids.
    pub fn expire(&mut self, now: Moment) -> Vec<runner::Id> {
        let is_expired = |m: &Member| matches!(m.status, Status::Lapsed(until) if until <= now);
        let gone: Vec<runner::Id> =
            self.members.iter().filter(|(_, m)| is_expired(m)).map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.forget(id, now);
        }
        self.left.retain(|_, since| now.since(*since) <= LEFT_RETENTION);
        self.peer_draining.retain(|key| self.by_start_key.contains_key(key));
        gone
    }

    /// Removes a server from both indexes; remembers its incarnation if it was draining.
    fn forget(&mut self, id: &runner::Id, now: Moment) {
        let Some(member) = self.members.remove(id) else {
            return;
        };
        self.by_start_key.remove(&member.start_key);
        if member.status == Status::Draining {
            self.left.insert(member.start_key, now);
        }
    }

    /// Returns the servers of a service that are not draining, ordered by id.
    pub fn usable(&self, service: &service::Name) -> Vec<&Server> {
        let is_usable = |m: &&Member| m.server.service == *service && m.status != Status::Draining;
        self.members.values().filter(is_usable).map(|m| &m.server).collect()
    }

    /// Returns all servers. Those that peers reported as draining are marked so.
    pub fn servers(&self) -> impl Iterator<Item = Server> {
        let draining = |m: &Member| m.status == Status::Draining;
        self.members.values().map(move |m| Server { draining: draining(m), ..m.server.clone() })
    }

    /// Returns the servers whose registrations have not lapsed.
    pub fn registered(&self) -> impl Iterator<Item = Server> {
        let is_registered = |m: &&Member| !matches!(m.status, Status::Lapsed(_));
        let draining = |m: &Member| m.status == Status::Draining;
        let registered = self.members.values().filter(is_registered);
        registered.map(move |m| Server { draining: draining(m), ..m.server.clone() })
    }

    /// Returns the ids of all servers.
    pub fn ids(&self) -> impl Iterator<Item = &runner::Id> {
        self.members.keys()
    }

    /// Returns the server at an address.
    pub fn at(&self, address: SocketAddr) -> Option<&runner::Id> {
        self.members.values().find(|m| m.server.address == address).map(|m| &m.server.id)
    }

    /// Returns a server by id.
    pub fn server(&self, id: &runner::Id) -> Option<&Server> {
        self.members.get(id).map(|m| &m.server)
    }

    /// Returns the server with this [`Server::start_key`].
    pub fn by_start_key(&self, key: u64) -> Option<&runner::Id> {
        self.by_start_key.get(&key)
    }

    /// Returns the number of servers, including draining ones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the table has no servers.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the time until which a registration that vanishes now counts as lapsed, or `None` if
    /// it counts as removed.
    fn lapse_end(&self, now: Moment) -> Option<Moment> {
        let end = self.store_regained_at? + RETURN_GRACE;
        (now < end).then_some(end.min(now + LAPSE_GRACE))
    }
}
