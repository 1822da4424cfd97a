use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::Failure;

/// Longest wait for a process to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between tries.
const TRY_PAUSE: Duration = Duration::from_millis(20);

/// Returns an address of this machine that nobody listens on.
///
/// # Errors
///
/// Fails when there is none.
pub fn free_address() -> Result<SocketAddr, Failure> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

/// Waits until `GET url` answers with success.
///
/// # Errors
///
/// Fails when it does not in time.
pub async fn wait_until_ready(url: &str) -> Result<(), Failure> {
    let client = reqwest::Client::new();
    let begin = Instant::now();
    while begin.elapsed() < READY_TIMEOUT {
        if client.get(url).send().await.is_ok_and(|answer| answer.status().is_success()) {
            return Ok(());
        }
        sleep(TRY_PAUSE).await;
    }
    Err(format!("{url} is not ready after {READY_TIMEOUT:?}").into())
}
