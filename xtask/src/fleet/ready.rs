use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::Failure;

/// The next port to hand out; below those that the system chooses for connections.
static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// Longest wait for a process to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between tries.
const TRY_PAUSE: Duration = Duration::from_millis(20);

/// Returns a loopback address that this process has not handed out before.
pub fn free_address() -> SocketAddr {
    let process = std::process::id();
    let ip = Ipv4Addr::new(127, (1 + process % 250) as u8, (process / 250 % 250) as u8, 1);
    SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
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
