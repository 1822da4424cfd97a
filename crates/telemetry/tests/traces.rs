//! Tests that spans reach a collector by OTLP over HTTP and that hops share one trace.

use std::sync::Arc;
use std::time::Duration;

use kumquattiller_base::request;
use kumquattiller_telemetry::traces;
use kumquattiller_telemetry::traces::Context;
use poem::EndpointExt;
use poem::Route;
use poem::Server;
use poem::handler;
use poem::listener::Acceptor;
use poem::listener::Listener;
use poem::listener::TcpListener;
use poem::post;
use poem::web::Data;
use test_case::test_case;
use tokio::sync::mpsc;

/// Time limit for one export to arrive.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(20);

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";

#[handler]
async fn collect(body: Vec<u8>, exports: Data<&Arc<mpsc::UnboundedSender<Vec<u8>>>>) {
    let _ = exports.send(body);
}

fn contains(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|w| w == part)
}

#[test_case(None, false ; "no header")]
#[test_case(Some("nonsense"), false ; "malformed header")]
#[test_case(Some("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"), true ; "w3c header")]
fn context_is_taken_from_the_header(header: Option<&str>, kept: bool) {
    let text = Context::from_traceparent(header).to_string();
    assert_eq!(text.contains(TRACE_ID), kept, "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_hops_reach_the_collector_in_one_trace() {
    let (sender, mut exports) = mpsc::unbounded_channel::<Vec<u8>>();
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("port");
    let address = acceptor.local_addr()[0].as_socket_addr().copied().expect("address");
    let app = Route::new().at("/v1/traces", post(collect)).data(Arc::new(sender));
    tokio::spawn(Server::new_with_acceptor(acceptor).run(app));

    traces::export(&format!("http://{address}/v1/traces"), "sample").expect("exporter");
    let request = request::Id::from_u128(9);
    let header = format!("00-{TRACE_ID}-b7ad6b7169203331-01");
    let first = Context::from_traceparent(Some(&header)).span("entry", request);
    let propagated = Context::from_traceparent(Some(&header)).within(&first).to_string();
    assert!(
        propagated.contains(TRACE_ID) && !propagated.contains("b7ad6b7169203331"),
        "{propagated}"
    );
    let second = Context::from_traceparent(Some(&propagated)).span("runner", request);
    drop(second);
    drop(first);
    tokio::task::spawn_blocking(traces::flush).await.expect("flush");

    let trace_id: Vec<u8> = (0..TRACE_ID.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&TRACE_ID[i..i + 2], 16).expect("digits"))
        .collect();
    let mut exported = Vec::new();
    while !(contains(&exported, b"entry") && contains(&exported, b"runner")) {
        let body = tokio::time::timeout(EXPORT_TIMEOUT, exports.recv()).await.expect("an export");
        exported.extend(body.expect("collector runs"));
    }
    assert!(contains(&exported, &trace_id), "the trace id is not in the export");
    assert!(
        contains(&exported, request.to_string().as_bytes()),
        "the request id is not in the export"
    );
}
