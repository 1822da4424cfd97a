use error_stack::ResultExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error;
use crate::error::Code;
use crate::error::Error;

/// Returns a future that completes when the process receives SIGTERM or SIGINT.
///
/// The handlers are installed by this call, so a signal that arrives before the future is first
/// polled is not lost.
///
/// # Errors
///
/// Fails when a signal handler cannot be installed.
pub fn shutdown_signal() -> error::Result<impl Future<Output = ()>> {
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
