//! Times in which the process did not run.

use std::time::Duration;
use std::time::SystemTime;

use kumquattiller_gateway::pause::Detector;
use test_case::test_case;
use tokio::time::Instant;

#[test_case(250, 250, None; "the usual interval is no pause")]
#[test_case(4_000, 4_000, Some(4_000); "a stopped process")]
#[test_case(0, 4_000, Some(4_000); "a suspended machine, whose steady clock stands still")]
#[test_case(1_200, 250, Some(1_200); "a stop during which the time of day jumps back")]
fn a_pause_is_detected(steady_ms: u64, wall_ms: u64, expected_ms: Option<u64>) {
    let (steady, wall) = (Instant::now(), SystemTime::now());
    let mut detector = Detector::new(steady, wall);
    let steady_later = steady + Duration::from_millis(steady_ms);
    let pause = detector.check(steady_later, wall + Duration::from_millis(wall_ms));
    assert_eq!(pause, expected_ms.map(Duration::from_millis));
}

#[test]
fn a_pause_is_reported_once() {
    let (steady, wall) = (Instant::now(), SystemTime::now());
    let mut detector = Detector::new(steady, wall);
    let later = steady + Duration::from_secs(3);
    assert!(detector.check(later, wall).is_some());
    assert!(detector.check(later, wall).is_none());
}
