//! Tests of the plain service stand-in over HTTP.

use std::time::Duration;

use kumquattiller_standins::service::Server;
use kumquattiller_standins::service::Settings;

#[tokio::test]
async fn executions_are_counted_across_a_kill() {
    let server = Server::start(Settings::default());
    let url = format!("{}/postings", server.url());
    let client = reqwest::Client::new();
    client.post(&url).body("pay 1").send().await.expect("an answer");
    server.set_delay(Duration::from_secs(60));
    let call = client.post(&url).body("pay 1");
    let call = tokio::spawn(async move { call.send().await });
    while server.executions_of("pay 1") < 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    server.kill();
    call.await.expect("no panic").expect_err("the connection is cut");
    server.set_delay(Duration::ZERO);
    server.restart();
    let answer = client.get(&url).send().await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 200);
    assert_eq!((server.executions_of("pay 1"), server.reads()), (2, 1));
}
