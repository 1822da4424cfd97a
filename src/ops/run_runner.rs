use std::path::Path;

use error_stack::ResultExt;
use kumquattiller_runner::Process;
use kumquattiller_telemetry::logs;

use crate::error;
use crate::error::Code;
use crate::error::Error;
use crate::ops::signal;
use crate::ops::traces;
use crate::settings;

/// Name of the program in traces.
const PROGRAM: &str = "kumquattiller-runner";

/// Runs a runner process until a signal asks it to stop and its running work has finished.
///
/// # Errors
///
/// Fails when the settings are invalid or an address of them cannot be bound.
pub async fn run_runner(file: &Path) -> error::Result {
    let settings: kumquattiller_runner::Settings = settings::read(file)?;
    logs::init();
    traces::start_export(settings.trace_endpoint.as_deref(), PROGRAM)?;
    let shutdown = signal::shutdown_signal()?;
    let context = || Error::new(Code::Failed, "cannot listen on the addresses of the settings");
    Process::new(settings).run(shutdown).await.change_context_lazy(context)?;
    traces::flush().await;
    Ok(())
}
