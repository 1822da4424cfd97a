//! Tests that `/metrics` contains every metric family with its name and labels.

use std::time::Duration;

use kumquattiller_base::error::Kind;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::size::Tokens;
use kumquattiller_telemetry::metrics::LinkKind;
use kumquattiller_telemetry::metrics::Metrics;

#[test]
fn every_family_is_encoded() {
    let metrics = Metrics::default();
    metrics.count_outcome(&Outcome::Done { tokens: Tokens::new(3) });
    metrics.count_outcome(&Outcome::Failed(Kind::DeadlineExceeded));
    metrics.count_retry();
    metrics.count_dropped_frame();
    metrics.observe_first_token(Tokens::new(1_000), Duration::from_millis(30));
    metrics.observe_token_gap(Tokens::new(200_000), Duration::from_millis(20));
    metrics.request_admitted();
    metrics.set_config_version(7);
    metrics.set_links(LinkKind::Runner, 4);
    metrics.add_control_bytes(LinkKind::Entry, 120);
    let text = metrics.encode();
    for line in [
        "kumquattiller_requests_total{outcome=\"done\"} 1",
        "kumquattiller_requests_total{outcome=\"failed\"} 1",
        "kumquattiller_errors_total{kind=\"deadline_exceeded\"} 1",
        "kumquattiller_retries_total 1",
        "kumquattiller_dropped_frames_total 1",
        "kumquattiller_time_to_first_token_seconds_count{prompt_band=\"up_to_8k\"} 1",
        "kumquattiller_token_gap_seconds_count{prompt_band=\"over_100k\"} 1",
        "kumquattiller_running 1",
        "kumquattiller_config_version 7",
        "kumquattiller_links{peer=\"runner\"} 4",
        "kumquattiller_control_bytes_total{peer=\"entry\"} 120",
    ] {
        assert!(text.contains(line), "{line} not in\n{text}");
    }
}
