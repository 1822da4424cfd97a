use error_stack::ResultExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error;
use crate::error::Code;
use crate::error::Error;

/// Listens for the signals that ask a process to stop, from the time of this call.
///
/// # Errors
///
/// Fails when a signal cannot be listened for.
pub fn shutdown() -> error::Result<impl Future<Output = ()>> {
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

fn listen(kind: SignalKind) -> error::Result<Signal> {
    signal(kind).change_context_lazy(|| Error::new(Code::Failed, "cannot listen for signals"))
}
