use kumquattiller_base::runner::Id;
use kumquattiller_base::time::Moment;
use kumquattiller_routing::admission::Gate;
use kumquattiller_routing::admission::Limits;
use kumquattiller_routing::load::Load;

use crate::engine::Engine;
use crate::model::Model;

/// A backend server: its engine and the runner process beside it.
#[derive(Debug)]
pub(super) struct Site {
    pub id: Id,
    pub zone: usize,
    pub engine: Engine,
    pub gate: Gate,
    pub is_alive: bool,
    pub is_stepping: bool,
    pub step_began: Moment,
    /// Counts lives of the engine, so that steps of an earlier one are dropped.
    pub life: u32,
}

impl Site {
    /// Makes an idle backend server.
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
            life: 0,
        }
    }

    /// Empties the backend server, as its death does.
    pub(super) fn clear(&mut self, model: &Model) {
        self.engine = Engine::new(*model);
        self.gate.clear();
        self.is_stepping = false;
        self.life += 1;
    }

    /// Returns the load to report.
    pub(super) fn load(&self, has_gate: bool) -> Load {
        if has_gate { self.gate.load() } else { self.engine.load() }
    }
}
