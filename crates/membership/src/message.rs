use kumquattiller_base::daemon;

use crate::Member;

/// A message to another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's own entry first, then news and a random few.
    pub members: Vec<Member>,
    /// Whether the sender waits for an answer.
    pub asks: bool,
}

impl Message {
    /// Returns the sender.
    pub fn sender(&self) -> Option<&daemon::Id> {
        self.members.first().map(|member| &member.id)
    }
}
