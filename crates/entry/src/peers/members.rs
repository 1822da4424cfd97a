use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use kumquattiller_base::daemon;
use kumquattiller_base::time::Moment;
use kumquattiller_dialect::platform::Phase;
use kumquattiller_dialect::platform::Vm;
use kumquattiller_link::Identity;
use kumquattiller_membership::Limits;
use kumquattiller_membership::Member;
use kumquattiller_membership::State;
use kumquattiller_membership::Table;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;

use crate::Settings;
use crate::peers::gossip;
use crate::peers::select::ENTRY_ROLE;

/// The entry daemons of this daemon's availability zone, as known by gossip.
#[derive(Debug)]
pub struct Members {
    table: Mutex<Table>,
}

impl Members {
    /// Creates a table that contains only this daemon.
    pub fn new(settings: &Settings, identity: &Identity) -> Self {
        let own = Member {
            id: settings.id.clone(),
            incarnation: daemon::Incarnation::new(identity.incarnation),
            address: settings.link_address,
            zone: settings.zone.clone(),
            state: State::Alive,
        };
        Self { table: Mutex::new(Table::new(own, Limits::default())) }
    }

    /// Adds the entry daemons of the zone from the platform's list of VMs.
    pub fn seed(&self, vms: &[Vm], now: Moment) {
        let mut table = self.lock();
        let zone = table.own().zone.to_string();
        let in_zone = vms.iter().filter(|vm| vm.role == ENTRY_ROLE && vm.zone == zone);
        for member in in_zone.filter_map(to_member) {
            table.seed(member, now);
        }
    }

    /// Returns the live members in the form of the platform's list of VMs.
    pub fn live(&self) -> Vec<Vm> {
        self.lock().live().map(to_vm).collect()
    }

    /// Runs a gossip round if one is due; returns the frames to send and the names of their
    /// receivers.
    pub fn run_round(&self, now: Moment) -> Vec<(String, Body)> {
        let sent = self.lock().run_round(now, &mut rand::rng());
        sent.into_iter().map(|(to, message)| (to.id.to_string(), gossip::encode(message))).collect()
    }

    /// Handles a gossip message; returns the answer if the sender expects one.
    pub fn handle_gossip(&self, message: link::Gossip, now: Moment) -> Option<Body> {
        let message = gossip::decode(message)?;
        self.lock().handle_message(message, now, &mut rand::rng()).map(gossip::encode)
    }

    /// Announces from the next round on that this daemon is leaving.
    pub fn leave(&self) {
        self.lock().leave();
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn to_member(vm: &Vm) -> Option<Member> {
    Some(Member {
        id: vm.name.parse().ok()?,
        incarnation: daemon::Incarnation::ZERO,
        address: vm.address.parse().ok()?,
        zone: vm.zone.parse().ok()?,
        state: State::Alive,
    })
}

fn to_vm(member: &Member) -> Vm {
    Vm {
        name: member.id.to_string(),
        address: member.address.to_string(),
        zone: member.zone.to_string(),
        role: ENTRY_ROLE.to_owned(),
        phase: Phase::Live,
    }
}
