use kumquattiller_base::daemon;

use crate::Member;

/// A heartbeat or the reply to one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Entry of the sender, followed by recent updates and randomly chosen entries.
    pub members: Vec<Member>,
    /// Whether the sender expects a reply.
    pub expects_reply: bool,
}

impl Message {
    /// Returns the ID of the sender, or `None` if the message has no entries.
    pub fn sender(&self) -> Option<&daemon::Id> {
        self.members.first().map(|member| &member.id)
    }
}
