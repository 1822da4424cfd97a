//! Setup of the process's logger.

use env_logger::Env;

/// Log filter that applies when `RUST_LOG` is not set.
const DEFAULT_FILTER: &str = "info";

/// Installs the logger of the process; further calls do nothing.
///
/// The environment variable `RUST_LOG` sets the log filter.
pub fn init() {
    let environment = Env::default().default_filter_or(DEFAULT_FILTER);
    let _ = env_logger::Builder::from_env(environment).format_timestamp_micros().try_init();
}
