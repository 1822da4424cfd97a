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
use crate::peers::chosen::ENTRY_ROLE;
use crate::peers::gossip;

/// The members of the own availability zone.
#[derive(Debug)]
pub struct Members {
    table: Mutex<Table>,
}

impl Members {
    /// Starts with the own daemon alone.
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

    /// Adds the daemons of the zone that the platform lists.
    pub fn seed(&self, vms: &[Vm], now: Moment) {
        let mut table = self.lock();
        let zone = table.own().zone.to_string();
        let near = vms.iter().filter(|vm| vm.role == ENTRY_ROLE && vm.zone == zone);
        for member in near.filter_map(read) {
            table.seed(member, now);
        }
    }

    /// Returns the live members as the platform would list them.
    pub fn live(&self) -> Vec<Vm> {
        self.lock().live().map(write).collect()
    }

    /// Runs a round when it is due; returns frames with the names of their receivers.
    pub fn round(&self, now: Moment) -> Vec<(String, Body)> {
        let sent = self.lock().run_round(now, &mut rand::rng());
        sent.into_iter().map(|(to, message)| (to.id.to_string(), gossip::write(message))).collect()
    }

    /// Takes a message; returns the answer when the sender waits for one.
    pub fn take(&self, message: link::Gossip, now: Moment) -> Option<Body> {
        let message = gossip::read(message)?;
        self.lock().handle_message(message, now, &mut rand::rng()).map(gossip::write)
    }

    /// Tells the others from the next round on that this daemon leaves.
    pub fn leave(&self) {
        self.lock().leave();
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn read(vm: &Vm) -> Option<Member> {
    Some(Member {
        id: vm.name.parse().ok()?,
        incarnation: daemon::Incarnation::ZERO,
        address: vm.address.parse().ok()?,
        zone: vm.zone.parse().ok()?,
        state: State::Alive,
    })
}

fn write(member: &Member) -> Vm {
    Vm {
        name: member.id.to_string(),
        address: member.address.to_string(),
        zone: member.zone.to_string(),
        role: ENTRY_ROLE.to_owned(),
        phase: Phase::Live,
    }
}
