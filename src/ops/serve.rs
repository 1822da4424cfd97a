use std::path::Path;

use error_stack::ResultExt;
use kumquattiller_entry::Daemon;
use kumquattiller_telemetry::logs;

use crate::error;
use crate::error::Code;
use crate::error::Error;
use crate::ops::signal;
use crate::ops::traces;
use crate::settings;

/// Name of the program in traces.
const PROGRAM: &str = "kumquattiller";

/// Runs an entry daemon until it is asked to stop and its requests have ended.
///
/// # Errors
///
/// Fails when the settings are wrong or an address cannot be listened on.
pub async fn serve(file: &Path) -> error::Result {
    let settings: kumquattiller_entry::Settings = settings::read(file)?;
    logs::init();
    traces::export(settings.trace_endpoint.as_deref(), PROGRAM)?;
    let shutdown = signal::shutdown()?;
    let context = || Error::new(Code::Failed, "cannot listen on the addresses of the settings");
    Daemon::new(settings).run(shutdown).await.change_context_lazy(context)?;
    traces::flush().await;
    Ok(())
}
