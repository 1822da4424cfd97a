/// Proof that a request was started on no backend server.
///
/// Returned only by `not_started` of an [`Attempt`](crate::attempt::Attempt) that is unsent or
/// refused, and only when no earlier attempt of the request was lost.
#[derive(Debug)]
pub struct NotStarted(());

impl NotStarted {
    pub(super) const fn new() -> Self {
        Self(())
    }
}
