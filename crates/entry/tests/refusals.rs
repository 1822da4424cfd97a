//! Requests that are refused before anything is sent to a runner. Each response has the expected
//! kind and status and says that the request did not run, and the daemon continues to serve.

use std::time::Duration;

use kumquattiller_entry::Daemon;
use kumquattiller_entry::http;
use kumquattiller_entry::source;
use kumquattiller_inventory::Configuration;
use reqwest::Client;
use reqwest::RequestBuilder;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

/// Credential of the client account.
const CREDENTIAL: &str = "secret";
/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(20);

fn configuration() -> Configuration {
    let value = json!({
        "version": 1,
        "register": {
            "places": [{"region": "addis", "zones": ["bole", "kirkos"]}],
            "services": [
                {"name": "writing", "kind": "model", "models": ["drafts"], "engine_memory": 1_000},
                {"name": "ledger", "kind": "plain"},
            ],
            "runners": [
                {"id": "a", "service": "writing", "zone": "bole", "address": "127.0.0.1:1"},
                {"id": "b", "service": "writing", "zone": "bole", "address": "127.0.0.1:2"},
                {"id": "c", "service": "writing", "zone": "kirkos", "address": "127.0.0.1:3"},
            ],
            "accounts": [{"id": "wards", "credential": CREDENTIAL}],
        },
        "rules": {"body_limit": 20_000},
    });
    serde_json::from_value(value).expect("configuration is valid")
}

/// Starts a daemon without reachable runners; returns its base URL.
async fn serve(configured: bool) -> String {
    let settings = json!({
        "id": "entry-1", "region": "addis", "zone": "bole", "http_address": "127.0.0.1:0",
        "link_address": "127.0.0.1:0", "platform_url": "http://127.0.0.1:1"
    });
    let daemon = Daemon::new(serde_json::from_value(settings).expect("settings are valid"));
    if configured {
        source::apply_stored(&daemon, &configuration());
    }
    let server = http::start(daemon).await.expect("daemon can listen");
    let url = format!("http://{}", server.address());
    std::mem::forget(server);
    url
}

async fn send(request: RequestBuilder) -> (u16, Value) {
    let response = request.timeout(TIMEOUT).send().await.expect("response arrives");
    let status = response.status().as_u16();
    (status, response.json().await.expect("body is JSON"))
}

fn completion(prompt_bytes: usize) -> String {
    json!({"model": "drafts", "prompt": "x".repeat(prompt_bytes), "max_tokens": 10}).to_string()
}

#[test_case("/v1/completions", "{\"model\": ", &[], 400, "malformed_body" ; "malformed JSON")]
#[test_case("/v1/completions", "{\"model\": \"drafts\"}", &[], 400, "malformed_body" ; "no prompt")]
#[test_case("/v1/completions", "{\"prompt\": \"x\"}", &[], 400, "missing_model" ; "no model")]
#[test_case("/v1/completions", "{\"prompt\": \"x\", \"model\": \"z\"}", &[], 404, "unknown_model" ; "unknown model")]
#[test_case("/v1/completions", "{\"prompt\": \"x\", \"model\": \"drafts\", \"max_tokens\": 0}", &[], 400, "malformed_body" ; "no tokens asked for")]
#[test_case("/v1/completions", &completion(30_000), &[], 413, "body_too_large" ; "body over the limit")]
#[test_case("/v1/completions", &completion(9_000), &[], 413, "prompt_too_large" ; "prompt over any set")]
#[test_case("/v1/completions", &completion(10), &[("X-Deadline-Ms", "0")], 504, "deadline_expired" ; "expired deadline")]
#[test_case("/v1/completions", &completion(10), &[("X-Deadline-Ms", "soon")], 400, "invalid_header" ; "deadline that is no number")]
#[test_case("/v1/completions", &completion(10), &[("Last-Event-ID", "7")], 400, "invalid_header" ; "foreign event id")]
#[test_case("/v1/completions", &completion(10), &[("Authorization", "Bearer wrong")], 401, "unknown_account" ; "unknown account")]
#[test_case("/v1/completions", &completion(10), &[("Idempotency-Key", "")], 400, "invalid_key" ; "empty key")]
#[test_case("/v1/completions", &completion(10), &[], 503, "no_runner" ; "no runner reachable")]
#[test_case("/services/ledger/postings", "{}", &[], 400, "missing_key" ; "posting without key")]
#[test_case("/services/none/postings", "{}", &[], 404, "unknown_service" ; "unknown service")]
#[test_case("/services/writing/postings", "{}", &[], 404, "unknown_service" ; "model service as plain")]
#[test_case("/v2/completions", "{}", &[], 404, "not_found" ; "unknown path")]
#[tokio::test]
async fn bad_input_is_refused(
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
    status: u16,
    kind: &str,
) {
    let url = serve(true).await;
    let client = Client::new();
    let mut request = client.post(format!("{url}{path}")).body(body.to_owned());
    if !headers.iter().any(|(name, _)| *name == "Authorization") {
        request = request.bearer_auth(CREDENTIAL);
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let (actual_status, body) = send(request).await;
    assert_eq!((actual_status, body["error"]["kind"].as_str()), (status, Some(kind)), "{body}");
    assert_eq!(body["error"]["ran"], "no", "{body}");
    let health = client.get(format!("{url}/healthz")).send().await.expect("daemon still serves");
    assert!(health.status().is_success());
    let metrics =
        client.get(format!("{url}/metrics")).send().await.expect("metrics endpoint responds");
    let metrics = metrics.text().await.expect("metrics are text");
    let line = format!("kumquattiller_errors_total{{kind=\"{kind}\"}} 1");
    assert!(metrics.contains(&line) || kind == "not_found", "{line} not in\n{metrics}");
}

#[tokio::test]
async fn a_prompt_over_any_set_names_the_limit() {
    let url = serve(true).await;
    let request = Client::new().post(format!("{url}/v1/completions")).bearer_auth(CREDENTIAL);
    let (_, body) = send(request.body(completion(9_000))).await;
    let message = body["error"]["message"].as_str().unwrap_or_default();
    assert!(message.contains("2260 tokens, at most 2000 tokens"), "{message}");
}

#[tokio::test]
async fn without_configuration_nothing_is_admitted() {
    let url = serve(false).await;
    let request = Client::new().post(format!("{url}/v1/completions")).bearer_auth(CREDENTIAL);
    let (status, body) = send(request.body(completion(10))).await;
    assert_eq!((status, body["error"]["kind"].as_str()), (503, Some("no_configuration")));
    let ready = Client::new().get(format!("{url}/readyz")).send().await.expect("response arrives");
    assert_eq!(ready.status().as_u16(), 503);
}

#[test]
fn a_lost_outcome_is_not_called_not_run() {
    let id = kumquattiller_base::request::Id::from_u128(1);
    let body = kumquattiller_entry::http::Error::outcome_lost(id).to_json();
    assert!(body.contains("\"ran\":\"unknown\""), "{body}");
}
