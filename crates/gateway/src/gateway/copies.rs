//! The copies of the store that the daemon holds, and how old they are.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use log::info;

use crate::Gateway;
use crate::changes::Change;
use crate::changes::Content;
use crate::changes::Update;
use crate::fleet;
use crate::freshness;
use crate::freshness::Confirmation;
use crate::freshness::Effect;
use crate::freshness::Kind;
use crate::freshness::Revision;
use crate::freshness::Source;
use crate::load::report_interval;
use crate::peer;
use crate::peer::Member;

/// Number of objects that a daemon passes on to a peer at once.
const MAX_OBJECTS: usize = 1_000;
/// Longest time for which a confirmation may wait for the next regular report.
const MAX_CONFIRMATION_DELAY: Duration = Duration::from_millis(250);

impl Gateway {
    /// Returns how old the copies of the store are.
    pub const fn freshness(&self) -> &RefCell<freshness::Table> {
        &self.freshness
    }

    /// Returns the age of the copy of a kind in milliseconds, for the log; `None` if it was never
    /// confirmed.
    pub fn age_ms(&self, kind: Kind) -> Option<u64> {
        let age = self.freshness.borrow().age(kind, self.now());
        age.map(|age| age.as_millis() as u64)
    }

    /// Returns the revision up to which the copy of a kind is complete, or `None` without a copy.
    pub fn copy_revision(&self, kind: Kind) -> Option<Revision> {
        self.freshness.borrow().revision(kind)
    }

    /// Returns whether a newer configuration may be in force elsewhere, since the store has not
    /// confirmed this one for too long.
    pub fn is_config_outdated(&self) -> bool {
        let age = self.freshness.borrow().age(Kind::Config, self.now());
        age.is_none_or(|age| age > self.settings.config_limit)
    }

    /// Applies what the store or a peer says of the objects of a kind, unless the copy already
    /// contains it. What the store says is reported to the peers at once if it is a change, if the
    /// copies of the peers are probably overdue as well, or if they would be at the next report.
    pub fn apply_update(&self, update: Update) {
        let kind = update.kind;
        let before = self.copy_revision(kind);
        if !update.fits(before) {
            let revision = update.revision;
            info!(target: "store", kind:%, source:% = update.source, revision:%; "outdated answer ignored");
            return;
        }
        if kind == Kind::Servers {
            self.record_fleet_answer();
        }
        self.apply_content(kind, &update.content, update.source);
        self.histories.borrow_mut().entry(kind).or_default().record(&update);
        let last_change = update.last_change();
        let was_overdue = self.freshness.borrow().overdue_at(kind, 0) <= self.now();
        self.freshness.borrow_mut().confirm(
            kind,
            update.revision,
            last_change,
            update.shown_at,
            update.source,
        );
        match kind {
            Kind::Evacuations => self.note_evacuations_confirmed(before.is_none()),
            Kind::Daemons => self.update_roster(),
            Kind::Config | Kind::Servers => {}
        }
        let is_new = before.is_some() && last_change > before;
        let is_urgent = is_new || was_overdue || self.reports_are_rare();
        if update.source == Source::Store && is_urgent {
            self.request_report();
        }
    }

    /// Returns whether the copies of the peers would be overdue before the regular report after a
    /// confirmation.
    fn reports_are_rare(&self) -> bool {
        report_interval(self.peers.borrow().len()) > MAX_CONFIRMATION_DELAY
    }

    /// Applies the objects of a kind, or their changes.
    fn apply_content(&self, kind: Kind, content: &Content, source: Source) {
        match (kind, content) {
            (Kind::Servers, Content::Complete(objects)) => self.replace_servers(objects),
            (Kind::Daemons, Content::Complete(objects)) => self.replace_daemons(objects),
            (Kind::Evacuations, Content::Complete(objects)) => self.replace_evacuations(objects),
            (_, Content::Complete(objects)) => {
                objects.iter().for_each(|change| self.apply_change(change, source));
            }
            (_, Content::Since(_, changes)) => {
                changes.iter().for_each(|(_, change)| self.apply_change(change, source));
            }
        }
    }

    fn apply_change(&self, change: &Change, source: Source) {
        match change {
            Change::Config(document) => self.update_config(document.clone(), source),
            Change::Server(server) => self.put_server(server.clone()),
            Change::ServerRemoved(id) => {
                let effect = self.fleet.borrow_mut().remove(id, self.now());
                self.apply_server_change(id, effect);
            }
            Change::Daemon(member) => self.peers.borrow_mut().put(member, &self.settings.name),
            Change::DaemonRemoved(id) if *id == self.settings.name => self.set_registered(false),
            Change::DaemonRemoved(id) => self.peers.borrow_mut().remove(id),
            Change::Evacuation(zone) => self.put_evacuation(zone),
            Change::EvacuationRemoved(zone) => self.remove_evacuation(zone),
        }
    }

    /// Replaces the backend servers by a complete list.
    fn replace_servers(&self, objects: &[Change]) {
        let servers: Vec<fleet::Server> = objects.iter().filter_map(Change::server).collect();
        let news = self.new_cold_registrations(servers.iter());
        let effects = self.fleet.borrow_mut().replace(servers, self.now());
        for (id, effect) in effects {
            self.apply_server_change(&id, effect);
        }
        self.apply_cold_registrations(&news);
        self.set_fleet_loaded();
    }

    /// Replaces the peers by a complete list.
    fn replace_daemons(&self, objects: &[Change]) {
        let members: Vec<Member> = objects.iter().filter_map(Change::member).collect();
        self.set_registered(members.contains(&self.settings.member()));
        self.peers.borrow_mut().replace(&members, &self.settings.name);
    }

    /// Returns what a peer lacks whose copy of a kind is complete up to `from`. Returns `None` if this
    /// daemon has no copy, or if the peer would get more than a thousand objects: the store has
    /// a longer history and tells it only the changes.
    pub fn changes_since(&self, kind: Kind, from: Option<Revision>) -> Option<peer::Response> {
        let now = self.now();
        let age = self.freshness.borrow().age(kind, now)?;
        let revision = self.copy_revision(kind)?;
        let histories = self.histories.borrow();
        let since = |from: Revision| Some(Content::Since(from, histories.get(&kind)?.since(from)?));
        let content = from.and_then(since).unwrap_or_else(|| self.all_objects(kind));
        if matches!(&content, Content::Complete(objects) if objects.len() > MAX_OBJECTS) {
            return None;
        }
        let update = Update { kind, source: Source::Peer, content, revision, shown_at: now };
        Some(peer::Response::from(&update).with_age(age))
    }

    /// Returns all objects of a kind, for a peer.
    fn all_objects(&self, kind: Kind) -> Content {
        let objects = match kind {
            Kind::Config => vec![Change::Config(self.document.borrow().clone())],
            Kind::Servers => self.fleet.borrow().registered().map(Change::Server).collect(),
            Kind::Daemons => {
                let own = std::iter::once(self.settings.member());
                own.chain(self.peers.borrow().members()).map(Change::Daemon).collect()
            }
            Kind::Evacuations => {
                self.evacuations.borrow().zones().cloned().map(Change::Evacuation).collect()
            }
        };
        Content::Complete(objects)
    }

    /// Applies what a peer reports of its copy of a kind, and fetches the changes that this
    /// daemon's copy turns out to lack.
    pub fn merge_confirmation(self: &Rc<Self>, kind: Kind, reported: Confirmation) {
        let now = self.now();
        let effect = self.freshness.borrow_mut().merge(kind, reported, now);
        match effect {
            Effect::None => {}
            Effect::Confirmed(silence) => self.end_silence(kind, silence, now),
            Effect::Missing => {
                info!(
                    target: "store", kind:%, change:% = reported.last_change, age_ms = self.age_ms(kind);
                    "a peer has seen a change that has not arrived here"
                );
                self.change_missed.notify_waiters();
                peer::fetch_changes(self, kind, reported.last_change);
            }
        }
    }

    /// Records that the process did not run for `time`: all copies may be that much older.
    pub fn record_pause(&self, time: Duration) {
        self.freshness.borrow_mut().add_age(time);
        self.change_missed.notify_waiters();
    }

    /// Returns whether the store has the registration of this daemon, as far as known.
    pub fn is_registered(&self) -> bool {
        self.registered.get()
    }

    /// Records whether the store has the registration of this daemon.
    pub fn set_registered(&self, registered: bool) {
        self.registered.set(registered);
    }

    /// Returns the addresses of the peers that pass on a change of a kind.
    pub fn holders(&self, kind: Kind, change: Revision) -> Vec<SocketAddr> {
        let zone = self.settings.zone.as_ref();
        self.peers.borrow().holders(kind, change, zone, self.now())
    }

    /// Records that the store answered a request about the backend servers, before the answer is
    /// applied.
    fn record_fleet_answer(&self) {
        let now = self.now();
        if let Some(silence) = self.freshness.borrow().age(Kind::Servers, now) {
            self.fleet.borrow_mut().store_responded(silence, now);
        }
    }

    /// Records that a peer has confirmed a copy that was not confirmed for `silence`.
    fn end_silence(&self, kind: Kind, silence: Duration, now: Moment) {
        match kind {
            Kind::Servers => self.fleet.borrow_mut().store_responded(silence, now),
            Kind::Evacuations => self.note_evacuations_confirmed(false),
            Kind::Config | Kind::Daemons => {}
        }
    }
}
