//! Telemetry of the programs: one trace over all hops, metrics and recorded decisions.

use std::sync::Arc;
use std::time::Duration;

use kumquattiller_support::caller::Caller;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::MODEL;
use poem::EndpointExt;
use poem::Route;
use poem::Server;
use poem::handler;
use poem::listener::Acceptor;
use poem::listener::Listener;
use poem::listener::TcpListener;
use poem::post;
use poem::web::Data;
use tokio::sync::mpsc;

use crate::support::fleet;

/// Longest wait for the next export of spans.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(20);
/// Id of the caller's trace.
const TRACE_ID: u128 = 0x0af7_6519_16cd_43dd_8448_eb21_1c80_319c;

#[handler]
async fn receive_export(body: Vec<u8>, exports: Data<&Arc<mpsc::UnboundedSender<Vec<u8>>>>) {
    let _ = exports.send(body);
}

/// Starts a trace collector and returns its URL and the bodies of the exports that it receives.
async fn start_collector() -> (String, mpsc::UnboundedReceiver<Vec<u8>>) {
    let (sender, exports) = mpsc::unbounded_channel::<Vec<u8>>();
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("port");
    let address = acceptor.local_addr()[0].as_socket_addr().copied().expect("address");
    let app = Route::new().at("/v1/traces", post(receive_export)).data(Arc::new(sender));
    tokio::spawn(Server::new_with_acceptor(acceptor).run(app));
    (format!("http://{address}/v1/traces"), exports)
}

fn contains_bytes(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|w| w == part)
}

/// Sends a request as part of the caller's trace and returns the request id.
async fn send_traced_request(fleet: &Fleet) -> String {
    let body = Caller::completion(MODEL, "gas odour", 3, false);
    let header = format!("00-{TRACE_ID:032x}-b7ad6b7169203331-01");
    let request = fleet.caller(0).request("POST", "/v1/completions").json(&body);
    let answer = request.header("traceparent", header).send().await.expect("an answer");
    assert!(answer.status().is_success());
    answer.headers()["x-request-id"].to_str().expect("text").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_hop_is_in_the_callers_trace() {
    let (url, mut exports) = start_collector().await;
    let fleet = fleet().trace_endpoint(url).start().await;
    let id = send_traced_request(&fleet).await;
    let mut missing = vec!["entry.request", "entry.attempt", "runner.backend"];
    while !missing.is_empty() {
        let body = tokio::time::timeout(EXPORT_TIMEOUT, exports.recv()).await;
        let body = body.unwrap_or_else(|_| panic!("no spans {missing:?}")).expect("collector");
        if contains_bytes(&body, &TRACE_ID.to_be_bytes()) && contains_bytes(&body, id.as_bytes()) {
            missing.retain(|name| !contains_bytes(&body, name.as_bytes()));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_counted_and_explained() {
    let fleet = fleet().start().await;
    let id = send_traced_request(&fleet).await;
    let metrics = fleet.caller(0).request("GET", "/metrics").send().await.expect("an answer");
    let metrics = metrics.text().await.expect("text");
    assert!(metrics.contains("kumquattiller_requests_total{outcome=\"done\"}"), "{metrics}");
    assert!(metrics.contains("kumquattiller_running 0"), "{metrics}");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_kumquattiller"))
        .args(["explain", "--json", &id])
        .args(["--at", &fleet.entries[0].link.to_string()])
        .args(fleet.runners.iter().map(|r| format!("--at={}", r.link)))
        .output()
        .expect("program runs");
    let text = String::from_utf8(output.stdout).expect("text");
    let found: serde_json::Value = serde_json::from_str(&text).expect("one JSON object");
    let lines = found["lines"].to_string();
    for part in ["admitted for writing", "attempt 1 on runner", "ended: done, 3 tokens"] {
        assert!(lines.contains(part), "{part} not in {lines}");
    }
    assert!(lines.contains("the backend server ended after 3"), "{lines}");
}
