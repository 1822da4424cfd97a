/// Proof that an attempt started nothing on any backend server.
///
/// Only [`Attempt::not_started`](crate::attempt::Attempt::not_started) makes one. A request with
/// several attempts needs the proof of each: an attempt that was sent and lost has none.
#[derive(Debug)]
pub struct NotStarted(());

impl NotStarted {
    pub(super) const fn new() -> Self {
        Self(())
    }
}
