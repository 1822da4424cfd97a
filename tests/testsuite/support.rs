//! Helpers that several test modules use.

use std::path::PathBuf;
use std::time::Duration;

use kumquattiller_support::fleet::Binaries;
use kumquattiller_support::fleet::Builder;
use kumquattiller_support::fleet::Fleet;
use kumquattiller_support::fleet::PLAIN_SERVICE;
use kumquattiller_support::wait;

/// Returns a builder of a fleet that runs the programs under test.
pub fn fleet() -> Builder {
    Builder::new(Binaries {
        entry: PathBuf::from(env!("CARGO_BIN_EXE_kumquattiller")),
        runner: PathBuf::from(env!("CARGO_BIN_EXE_kumquattiller-runner")),
    })
}

/// Waits until every entry daemon can reach the plain service.
pub async fn wait_until_plain_service_answers(fleet: &Fleet) {
    for index in 0..fleet.entries.len() {
        let caller = fleet.caller(index);
        wait::until("an answer of the plain service", Duration::from_secs(20), async || {
            let body = serde_json::Value::Null;
            caller.call(PLAIN_SERVICE, "GET", "/ready", None, &body).await.status == 200
        })
        .await;
    }
}
