use kumquattiller_dialect::engine::Adapter;
use kumquattiller_dialect::engine::Command;
use kumquattiller_dialect::engine::Model;
use kumquattiller_dialect::engine::Order;

use crate::engine::refusal::Refusal;
use crate::engine::simulator::Simulator;

impl Simulator {
    /// Rejects an order with an old fencing number if the settings enable the check.
    pub(super) fn check_fencing(&mut self, order: &Order) -> Result<(), Refusal> {
        if !self.settings.checks_fencing {
            return Ok(());
        }
        if order.fencing < self.state.fencing {
            return Err(Refusal::OldFencing);
        }
        self.state.fencing = order.fencing;
        Ok(())
    }

    /// Returns whether a command loads from the weight store.
    pub(super) fn needs_load(&self, command: &Command) -> bool {
        match command {
            Command::LoadModel(model) => !self.state.models.contains(model),
            Command::LoadAdapter(adapter) => !self.state.adapters.contains(adapter),
            _ => false,
        }
    }

    /// Applies a command.
    pub(super) fn apply(&mut self, command: Command) {
        match command {
            Command::LoadModel(model) => self.replace_model(model),
            Command::UnloadModel { name } => self.state.models.retain(|m| m.name != name),
            Command::LoadAdapter(adapter) => self.replace_adapter(adapter),
            Command::UnloadAdapter { name } => self.state.adapters.retain(|a| a.name != name),
            Command::SetRole { role } => self.state.role = role,
        }
    }

    fn replace_model(&mut self, model: Model) {
        self.state.models.retain(|m| m.name != model.name);
        self.state.models.push(model);
    }

    fn replace_adapter(&mut self, adapter: Adapter) {
        self.state.adapters.retain(|a| a.name != adapter.name);
        self.state.adapters.push(adapter);
    }
}
