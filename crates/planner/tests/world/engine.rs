use kumquattiller_dialect::engine::Command;
use kumquattiller_dialect::engine::Order;
use kumquattiller_dialect::engine::State;
use kumquattiller_planner::Fencing;

/// Simulated engine that checks or ignores fencing tokens.
pub struct Engine {
    pub state: State,
    /// Fencing tokens of the orders that took effect since the start of the engine.
    pub applied: Vec<u64>,
    checks_fencing: bool,
    running: Option<Order>,
}

impl Engine {
    pub fn new(checks_fencing: bool) -> Self {
        Self { state: State::default(), applied: Vec::new(), checks_fencing, running: None }
    }

    pub fn begin(&mut self, order: Order) {
        assert!(self.running.is_none(), "two commands at a time");
        self.running = Some(order);
    }

    /// Executes the running order, or rejects it with the highest fencing token seen.
    pub fn finish(&mut self) -> Option<Result<(), Fencing>> {
        let order = self.running.take()?;
        if self.checks_fencing && order.fencing < self.state.fencing {
            return Some(Err(Fencing::new(self.state.fencing)));
        }
        if self.checks_fencing {
            self.state.fencing = order.fencing;
        }
        self.applied.push(order.fencing);
        match order.command {
            Command::LoadModel(model) => {
                self.state.models.retain(|m| m.name != model.name);
                self.state.models.push(model);
            }
            Command::UnloadModel { name } => self.state.models.retain(|m| m.name != name),
            _ => {}
        }
        Some(Ok(()))
    }

    pub fn abort(&mut self) {
        self.running = None;
    }

    pub fn restart(&mut self) {
        let incarnation = self.state.incarnation + 1;
        self.state = State { incarnation, ..State::default() };
        self.applied.clear();
        self.running = None;
    }
}
