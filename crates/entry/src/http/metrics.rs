//! Metrics endpoint.

use kumquattiller_telemetry::metrics::LinkKind;
use poem::handler;
use poem::web::Data;

use crate::Daemon;

/// Responds with the metrics in the OpenMetrics text format.
#[handler]
pub fn metrics(Data(daemon): Data<&Daemon>) -> String {
    let metrics = daemon.recorder().metrics();
    let open_links =
        daemon.runners().all().iter().filter(|remote| remote.sender().is_some()).count();
    metrics.set_links(LinkKind::Runner, open_links);
    metrics.set_links(LinkKind::Entry, daemon.peers().count());
    metrics.set_config_version(daemon.config_version().get());
    metrics.encode()
}
