use kumquattiller_dialect::engine::Adapter;
use kumquattiller_dialect::engine::Command;
use kumquattiller_dialect::engine::Model;
use kumquattiller_dialect::engine::Order;

use crate::engine::machine::Machine;
use crate::engine::refusal::Refusal;

impl Machine {
    /// Refuses an order with an old fencing number, when the settings say so.
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

    /// Tells whether an order reads from the weight store.
    pub(super) fn needs_load(&self, command: &Command) -> bool {
        match command {
            Command::LoadModel(model) => !self.state.models.contains(model),
            Command::LoadAdapter(adapter) => !self.state.adapters.contains(adapter),
            _ => false,
        }
    }

    /// Carries out an order.
    pub(super) fn apply(&mut self, command: Command) {
        match command {
            Command::LoadModel(model) => self.set_model(model),
            Command::UnloadModel { name } => self.state.models.retain(|m| m.name != name),
            Command::LoadAdapter(adapter) => self.set_adapter(adapter),
            Command::UnloadAdapter { name } => self.state.adapters.retain(|a| a.name != name),
            Command::SetRole { role } => self.state.role = role,
        }
    }

    fn set_model(&mut self, model: Model) {
        self.state.models.retain(|m| m.name != model.name);
        self.state.models.push(model);
    }

    fn set_adapter(&mut self, adapter: Adapter) {
        self.state.adapters.retain(|a| a.name != adapter.name);
        self.state.adapters.push(adapter);
    }
}
