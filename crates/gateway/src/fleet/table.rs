use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use kumquattiller_base::runner;
use kumquattiller_base::service;
use kumquattiller_base::time::Moment;

use crate::fleet::Server;
use crate::fleet::Status;

/// How long after this daemon reached the store again a registration that lapsed meanwhile may
/// still come back. Servers renew theirs within two seconds of the store's return, which a daemon
/// notices up to half a second late.
pub const RETURN_GRACE: Duration = Duration::from_millis(1_500);
/// How long a server whose registration was seen to vanish may still get work, within that time:
/// it may be leaving.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1_200);

/// What a registration changed, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// The server is new, or started again.
    Joined,
    /// The server leaves.
    Leaving,
    /// The registration is gone and the server with it.
    Gone,
    /// The registration lapsed while the store was away.
    Lapsed,
    /// Nothing that matters changed.
    Same,
}

#[derive(Debug)]
struct Member {
    server: Server,
    status: Status,
}

/// The backend servers that a daemon knows.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<runner::Id, Member>,
    /// Starts of servers that peers saw leaving before this daemon did.
    peer_leaving: BTreeSet<u64>,
    store_down: bool,
    store_regained_at: Option<Moment>,
}

impl Table {
    /// Notes that the store does not answer.
    pub const fn store_lost(&mut self) {
        self.store_down = true;
    }

    /// Notes that the store answers again.
    pub const fn store_regained(&mut self, now: Moment) {
        if self.store_down {
            self.store_down = false;
            self.store_regained_at = Some(now);
        }
    }

    /// Takes in a registration.
    pub fn put(&mut self, server: Server) -> Change {
        let leaving = server.leaving || self.peer_leaving.contains(&server.start_key());
        let status = if leaving { Status::Leaving } else { Status::Ready };
        let old = self.members.get(&server.id);
        let change = match old {
            Some(old) if old.server.started_ms != server.started_ms => Change::Joined,
            Some(old) if leaving && old.status != Status::Leaving => Change::Leaving,
            Some(_) => Change::Same,
            None => Change::Joined,
        };
        self.members.insert(server.id.clone(), Member { server, status });
        change
    }

    /// Takes in that a registration is gone.
    pub fn remove(&mut self, id: &runner::Id, now: Moment) -> Change {
        let until = self.lapse_end(now);
        let Some(member) = self.members.get_mut(id) else {
            return Change::Same;
        };
        if let (Some(until), Status::Ready) = (until, member.status) {
            member.status = Status::Lapsed(until);
            return Change::Lapsed;
        }
        self.members.remove(id);
        Change::Gone
    }

    /// Takes in the whole list of registrations; returns what changed.
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

    /// Takes in the starts of servers that a peer saw leaving; returns the servers for which that
    /// is new.
    pub fn mark_leaving(&mut self, starts: &[u64]) -> Vec<runner::Id> {
        let told: BTreeSet<u64> = starts.iter().copied().collect();
        let mut new = Vec::new();
        for member in self.members.values_mut() {
            let key = member.server.start_key();
            if told.contains(&key) && member.status != Status::Leaving {
                member.status = Status::Leaving;
                self.peer_leaving.insert(key);
                new.push(member.server.id.clone());
            }
        }
        new
    }

    /// Returns the starts of servers that leave, for the peers.
    pub fn leaving_keys(&self) -> Vec<u64> {
        let leaves = |m: &&Member| m.status == Status::Leaving;
        self.members.values().filter(leaves).map(|m| m.server.start_key()).collect()
    }

    /// Forgets the lapsed registrations that did not come back; returns their ids.
    pub fn expire(&mut self, now: Moment) -> Vec<runner::Id> {
        let over = |m: &Member| matches!(m.status, Status::Lapsed(until) if until <= now);
        let gone: Vec<runner::Id> =
            self.members.iter().filter(|(_, m)| over(m)).map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.members.remove(id);
        }
        let known: BTreeSet<u64> = self.members.values().map(|m| m.server.start_key()).collect();
        self.peer_leaving.retain(|key| known.contains(key));
        gone
    }

    /// Returns the servers of a service that may get new work, in the order of their ids.
    pub fn usable(&self, service: &service::Name) -> Vec<&Server> {
        let fits = |m: &&Member| m.server.service == *service && m.status != Status::Leaving;
        self.members.values().filter(fits).map(|m| &m.server).collect()
    }

    /// Returns all servers, each as leaving where a peer saw it leave.
    pub fn servers(&self) -> impl Iterator<Item = Server> {
        let leaving = |m: &Member| m.status == Status::Leaving;
        self.members.values().map(move |m| Server { leaving: leaving(m), ..m.server.clone() })
    }

    /// Returns the ids of all servers.
    pub fn ids(&self) -> impl Iterator<Item = &runner::Id> {
        self.members.keys()
    }

    /// Returns the server at an address.
    pub fn at(&self, address: SocketAddr) -> Option<&runner::Id> {
        self.members.values().find(|m| m.server.address == address).map(|m| &m.server.id)
    }

    /// Returns a server.
    pub fn server(&self, id: &runner::Id) -> Option<&Server> {
        self.members.get(id).map(|m| &m.server)
    }

    /// Returns how many servers are known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns until when a registration that vanishes now counts as lapsed, if it does.
    fn lapse_end(&self, now: Moment) -> Option<Moment> {
        if self.store_down {
            return Some(now + LAPSE_GRACE);
        }
        let end = self.store_regained_at? + RETURN_GRACE;
        (now < end).then_some(end.min(now + LAPSE_GRACE))
    }
}
