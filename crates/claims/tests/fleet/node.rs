use std::collections::BTreeMap;

use kumquattiller_base::daemon;
use kumquattiller_claims::Action;
use kumquattiller_claims::Claim;
use kumquattiller_claims::Event;
use kumquattiller_claims::Granted;
use kumquattiller_claims::Now;
use kumquattiller_claims::Settings;
use kumquattiller_claims::Started;
use kumquattiller_claims::Writer;

/// One incarnation of an entry daemon.
pub struct Node {
    writer: Writer,
    pub incarnation: u64,
    pub paused: bool,
    /// Events that arrived while the daemon was paused.
    pub queued: Vec<Event>,
    pub granted: Vec<(u64, Claim<Granted>)>,
    pub started: BTreeMap<u64, Claim<Started>>,
}

impl Node {
    pub fn new(index: usize, incarnation: u64) -> Self {
        let id: daemon::Id = format!("entry-{index}").parse().expect("valid name");
        let number = daemon::Incarnation::new(incarnation);
        Self {
            writer: Writer::new(id, number, Settings::default()),
            incarnation,
            paused: false,
            queued: Vec::new(),
            granted: Vec::new(),
            started: BTreeMap::new(),
        }
    }

    /// Handles an event, or queues it while the daemon is paused; a paused daemon drops ticks.
    pub fn handle_or_queue(&mut self, now: Now, event: Event) -> Vec<Action> {
        if !self.paused {
            return self.writer.handle(now, event);
        }
        if !matches!(event, Event::Tick) {
            self.queued.push(event);
        }
        Vec::new()
    }
}
