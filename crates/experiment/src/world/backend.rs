use kumquattiller_base::runner::Id;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::admission::Gate;
use kumquattiller_routing::admission::Limits;
use kumquattiller_routing::load::Load;

use crate::engine::Engine;
use crate::model::Model;

/// A backend server: an engine and the runner process in front of it.
#[derive(Debug)]
pub(super) struct Backend {
    pub id: Id,
    pub zone: usize,
    pub engine: Engine,
    pub gate: Gate,
    pub is_alive: bool,
    pub is_stepping: bool,
    pub step_began: Moment,
    /// Number of crashes of the engine; step events with another number are ignored.
    pub incarnation: u32,
}

impl Backend {
    /// Creates an idle backend server.
    pub(super) fn new(number: usize, zone: usize, model: &Model) -> Self {
        let id = format!("runner-{number:02}").parse().expect("a valid name");
        Self {
            id,
            zone,
            engine: Engine::new(*model),
            gate: Gate::new(Limits::new(model.memory, model.pace(), model.busy_step())),
            is_alive: true,
            is_stepping: false,
            step_began: Moment::ZERO,
            incarnation: 0,
        }
    }

    /// Discards the state of the backend server after a crash.
    pub(super) fn clear(&mut self, model: &Model) {
        self.engine = Engine::new(*model);
        self.gate.clear();
        self.is_stepping = false;
        self.incarnation += 1;
    }

    /// Returns the load that the runner process reports.
    pub(super) fn load(&self, has_gate: bool) -> Load {
        if has_gate { self.gate.load() } else { self.engine.load() }
    }
}
