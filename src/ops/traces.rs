use error_stack::ResultExt;
use kumquattiller_telemetry::traces;

use crate::error;
use crate::error::Error;

/// Starts the export of traces when the settings name an endpoint.
///
/// # Errors
///
/// Fails when the endpoint is not a URL.
pub fn start_export(endpoint: Option<&str>, program: &'static str) -> error::Result {
    let Some(endpoint) = endpoint else {
        return Ok(());
    };
    let context = || Error::invalid(format!("trace_endpoint {endpoint:?} cannot be used"));
    traces::export(endpoint, program).change_context_lazy(context)
}

/// Exports the spans that are still buffered; called before the process exits.
pub async fn flush() {
    let _ = tokio::task::spawn_blocking(traces::flush).await;
}
