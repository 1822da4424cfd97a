//! Tests of the platform stand-in over HTTP.

use kumquattiller_dialect::platform::Changes;
use kumquattiller_standins::platform::Server;
use kumquattiller_standins::platform::Settings;
use reqwest::Client;
use reqwest::RequestBuilder;
use serde_json::json;

fn put(server: &Server, name: &str) -> RequestBuilder {
    Client::new().put(format!("{}/objects/lease/{name}", server.url())).json(&json!({ "n": 1 }))
}

async fn status(request: RequestBuilder) -> u16 {
    request.send().await.expect("the platform answers").status().as_u16()
}

#[tokio::test]
async fn conditions_guard_writes() {
    let server = Server::start(Settings::default());
    assert_eq!(status(put(&server, "a").header("If-None-Match", "*")).await, 200);
    assert_eq!(status(put(&server, "a").header("If-None-Match", "*")).await, 412);
    assert_eq!(status(put(&server, "a").header("If-Match", "\"1\"")).await, 200);
    assert_eq!(status(put(&server, "a").header("If-Match", "\"1\"")).await, 412);
    assert_eq!(server.list("lease").objects[0].version, 2);
}

#[tokio::test]
async fn lost_answer_takes_effect() {
    let server = Server::start(Settings::default());
    server.lose_answers(1);
    put(&server, "a").send().await.expect_err("the connection is cut");
    assert_eq!(server.list("lease").objects.len(), 1);
    assert_eq!(status(put(&server, "b")).await, 200);
}

#[tokio::test]
async fn outage_and_rate_refuse() {
    let server = Server::start(Settings { writes_per_second: 1, ..Settings::default() });
    server.set_outage(true);
    assert_eq!(status(put(&server, "a")).await, 503);
    server.set_outage(false);
    while status(put(&server, "a")).await != 429 {}
    assert!(server.calls().writes > 0);
    assert_eq!(server.calls().limited, 1);
}

#[tokio::test]
async fn watch_returns_the_next_change_and_reports_expired_ones() {
    let server = Server::start(Settings { kept_changes: 1, ..Settings::default() });
    let version = server.put("lease", "a", json!(1));
    let url = format!("{}/objects/lease?watch_after={version}&wait_ms=30000", server.url());
    let watch = tokio::spawn(async move { reqwest::get(url).await?.json::<Changes>().await });
    let written = server.put("lease", "b", json!(2));
    let changes = watch.await.expect("no panic").expect("changes");
    assert_eq!((changes.version, changes.changes.len()), (written, 1));
    let url = format!("{}/objects/lease?watch_after=0&wait_ms=30000", server.url());
    let changes: Changes = reqwest::get(url).await.expect("changes").json().await.expect("a body");
    assert!(changes.expired);
}
