use std::borrow::Cow;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use fastrace::collector::Config;
use fastrace_opentelemetry::OpenTelemetryReporter;
use opentelemetry::InstrumentationScope;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::Resource;

/// Interval between exports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for one export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// An error while setting up the trace exporter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error;

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("failed to set up the trace exporter")
    }
}

impl std::error::Error for Error {}

/// Starts exporting spans of service `program` by OTLP over HTTP to `endpoint`, a URL such as
/// `http://10.0.0.9:4318/v1/traces`.
///
/// # Errors
///
/// Fails when the endpoint is not a valid URL.
///
/// # Panics
///
/// Panics when called outside a tokio runtime.
pub fn export(endpoint: &str, program: &'static str) -> Result<(), Report<Error>> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_endpoint(endpoint)
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .change_context(Error)?;
    let resource = Resource::builder().with_service_name(program).build();
    let scope = InstrumentationScope::builder(program).build();
    let runtime = tokio::runtime::Handle::current();
    let reporter = OpenTelemetryReporter::new(exporter, Cow::Owned(resource), scope)
        .with_block_on(move |future| runtime.block_on(future));
    let config = Config::default().report_interval(REPORT_INTERVAL);
    fastrace::set_reporter(reporter, config);
    Ok(())
}

/// Exports the recorded spans now.
///
/// Blocks the thread, so async code has to call it through `spawn_blocking`.
pub fn flush() {
    fastrace::flush();
}
