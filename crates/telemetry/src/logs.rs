//! Logs.

use env_logger::Env;

/// Filter of log records when the environment sets none.
const DEFAULT_FILTER: &str = "info";

/// Sets the logger of the process; a second call does nothing.
///
/// The environment variable `RUST_LOG` sets the filter.
pub fn init() {
    let environment = Env::default().default_filter_or(DEFAULT_FILTER);
    let _ = env_logger::Builder::from_env(environment).format_timestamp_micros().try_init();
}
