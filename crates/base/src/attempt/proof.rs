/// Proof that an attempt started nothing on any backend server.
///
/// Only `not_started` of an [`Attempt`](crate::attempt::Attempt) that is unsent or refused makes
/// one, and only when no earlier attempt of the request was lost.
#[derive(Debug)]
pub struct NotStarted(());

impl NotStarted {
    pub(super) const fn new() -> Self {
        Self(())
    }
}
